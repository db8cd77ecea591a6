//! Output of `status` and `audit` while two gateways run, and after one of them has stopped.

use nix::sys::signal::Signal;
use snapbox::{assert_data_eq, str};

use crate::support::{Platform, eventually};

/// Runs a subcommand until its output satisfies `is_expected`, and returns the output.
async fn wait_for_output(
    platform: &Platform,
    args: &[&str],
    is_expected: impl Fn(&str) -> bool,
) -> String {
    eventually(|| async {
        let text = platform.turmericloft(args);
        is_expected(&text).then_some(text)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_audit_show_two_gateways_and_one_that_stopped() {
    let mut platform = Platform::start_gateways(2).await;
    platform.promote();
    let active_at_both = |text: &str| text.matches("active at gw-").count() == 2;
    let trail = wait_for_output(&platform, &["audit"], active_at_both).await;
    assert!(trail.contains("active at gw-1") && trail.contains("active at gw-2"));
    assert_data_eq!(
        trail,
        str![[r#"
[..] anna version 1: nothing -> [..]
    active at gw-[..]
    active at gw-[..]

"#]]
    );
    let host_list = platform.host_list.to_string();
    let status = ["status", "--host-list", &host_list];
    assert_data_eq!(
        platform.turmericloft(&status),
        str![[r#"
production: version 1, [..], by anna
 gateway  zone  condition  version  active since              hears
 gw-1     a     alive      1        [..]
 gw-2     a     alive      1        [..]

"#]]
    );
    platform.other_gateways[0].process.signal(Signal::SIGTERM);
    assert!(platform.other_gateways[0].process.wait().success());
    let after_stop = wait_for_output(&platform, &status, |text| text.contains("leaving")).await;
    assert_data_eq!(
        after_stop,
        str![[r#"
production: version 1, [..], by anna
 gateway  zone  condition  version  active since              hears
 gw-1     a     alive      1        [..]
 gw-2     a     leaving    1        [..]

"#]]
    );
}
