//! What `status` and `audit` show while gateways run, and after one has left.

use nix::sys::signal::Signal;
use snapbox::{assert_data_eq, str};

use crate::support::{Platform, eventually};

/// Runs a command until its output fulfils `is_there`.
async fn printed(platform: &Platform, args: &[&str], is_there: impl Fn(&str) -> bool) -> String {
    eventually(|| async {
        let text = platform.turmericloft(args);
        is_there(&text).then_some(text)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_audit_follow_two_gateways() {
    let mut platform = Platform::start_gateways(2).await;
    platform.promote();
    let told_by_all = |text: &str| text.matches("active at gw-").count() == 2;
    let trail = printed(&platform, &["audit"], told_by_all).await;
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
    platform.others[0].process.signal(Signal::SIGTERM);
    assert!(platform.others[0].process.wait().success());
    let left = printed(&platform, &status, |text| text.contains("leaving")).await;
    assert_data_eq!(
        left,
        str![[r#"
production: version 1, [..], by anna
 gateway  zone  condition  version  active since              hears
 gw-1     a     alive      1        [..]
 gw-2     a     leaving    1        [..]

"#]]
    );
}
