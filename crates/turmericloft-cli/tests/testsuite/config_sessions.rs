//! Sessions of operators with `trial`, `promote` and `audit`: races, lost responses, rejected
//! appends and expired documents.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::Method;
use snapbox::{assert_data_eq, str};

use crate::support::{OperatorShell, rival_record};

/// Sets the faults of the stand-in for the log service; `faults` is JSON.
async fn set_log_faults(operators: &OperatorShell, faults: &str) {
    put(operators, "/control", faults).await;
}

async fn put(operators: &OperatorShell, path: &str, body: &str) {
    let body = Bytes::copy_from_slice(body.as_bytes());
    let timeout = Duration::from_secs(10);
    let put = turmericloft::sources::http_client::send_request(
        operators.log_service,
        Method::PUT,
        path,
        body,
        timeout,
    );
    assert!(put.await.unwrap().status.is_success());
}

#[test]
fn document_is_promoted_only_after_it_was_active_in_trial() {
    let operators = OperatorShell::start();
    operators.write_document("one.toml", 4);
    assert_data_eq!(
        operators.session("promote one.toml --author anna"),
        str![[r#"
$ turmericloft promote one.toml --author anna
error: this document was not accepted in `trial`: no accepted document there has the digest 63fdbc783e94a5db566052b349c34ef48cb38e776f574e14cc8f6bf5e4692118; run `turmericloft trial` with exactly this file first
exit code 1

"#]]
    );
    assert_data_eq!(
        operators.session("trial one.toml --author anna"),
        str![[r#"
$ turmericloft trial one.toml --author anna
+ budget
+ callers
+ schema: 1
+ services
+ zones
version 1 of trial is accepted, 63fdbc783e94
exit code 0

"#]]
    );
    assert_data_eq!(
        operators.session("promote one.toml --author anna"),
        str![[r#"
$ turmericloft promote one.toml --author anna
+ budget
+ callers
+ schema: 1
+ services
+ zones
version 1 of production is accepted, 63fdbc783e94
exit code 0

"#]]
    );
    assert_data_eq!(
        operators.session("promote one.toml --author anna"),
        str![[r#"
$ turmericloft promote one.toml --author anna
nothing to do: version 1 of production is this document, 63fdbc783e94
exit code 0

"#]]
    );
    operators.write_document("two.toml", 6);
    operators.session("trial two.toml --author ben");
    assert_data_eq!(
        operators.session("promote two.toml --author ben --format json"),
        str![[r#"
$ turmericloft promote two.toml --author ben --format json
{"environment":"production","differences":[{"key":"services[calendar].endpoints[127.0.0.1:9000].slots","before":4,"after":6}],"result":"accepted","version":2,"digest":"2ac4ae5743dfb444dfcc46bdc7e096330d1468956e0b8fd0f61b9d249b5ddb50"}
exit code 0

"#]]
    );
    assert_data_eq!(
        operators.session("audit"),
        str![[r#"
$ turmericloft audit
[..] anna version 1: nothing -> 63fdbc783e94
[..] ben version 2: 63fdbc783e94 -> 2ac4ae5743df
exit code 0

"#]]
    );
}

#[test]
fn promotion_of_a_faulty_document_writes_nothing() {
    let operators = OperatorShell::start();
    operators.write("faulty.toml", "schema = 1\nzones = []\nservices = []\n");
    assert_data_eq!(
        operators.session("trial faulty.toml --author anna"),
        str![[r#"
$ turmericloft trial faulty.toml --author anna
error: the document is not valid:
  line 1: `callers`: missing field `callers`
exit code 1

"#]]
    );
    assert_data_eq!(
        operators.session("audit --environment trial"),
        str![[r#"
$ turmericloft audit --environment trial
exit code 0

"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn promotion_that_loses_a_race_is_rejected_and_names_the_winner() {
    let operators = OperatorShell::start();
    operators.trial_document("one.toml", 4);
    operators.session("promote one.toml --author anna");
    operators.trial_document("two.toml", 6);
    let rival = STANDARD.encode(rival_record(4, "ben"));
    set_log_faults(&operators, &format!(r#"{{"rival_record": "{rival}"}}"#)).await;
    assert_data_eq!(
        operators.session("promote two.toml --author carla"),
        str![[r#"
$ turmericloft promote two.toml --author carla
~ services[calendar].endpoints[127.0.0.1:9000].slots: 4 -> 6
error: rejected: ben's promotion of 90639efdbb51 at 2025-12-03T22:00:00.000Z was accepted first; this document is not active anywhere
production has version 2; see `turmericloft audit`, merge your change into that document,
run `turmericloft trial` with it and promote it again
exit code 3

"#]]
    );
    assert_data_eq!(
        operators.session("audit"),
        str![[r#"
$ turmericloft audit
[..] anna version 1: nothing -> 63fdbc783e94
2025-12-03T22:00:00.000Z ben version 2: 63fdbc783e94 -> 90639efdbb51
[..] carla version 2 rejected: 2ac4ae5743df
exit code 0

"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn promotion_with_a_lost_response_is_settled_by_reading_the_log() {
    let operators = OperatorShell::start();
    operators.trial_document("one.toml", 4);
    set_log_faults(&operators, r#"{"lose_answers": 1}"#).await;
    assert_data_eq!(
        operators.session("promote one.toml --author anna"),
        str![[r#"
$ turmericloft promote one.toml --author anna
+ budget
+ callers
+ schema: 1
+ services
+ zones
version 1 of production is accepted, 63fdbc783e94
exit code 0

"#]]
    );
    assert_data_eq!(
        operators.session("audit"),
        str![[r#"
$ turmericloft audit
[..] anna version 1: nothing -> 63fdbc783e94
exit code 0

"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn promotion_with_a_rejected_append_fails_and_writes_nothing() {
    let operators = OperatorShell::start();
    operators.trial_document("one.toml", 4);
    set_log_faults(&operators, r#"{"reject_appends": 1}"#).await;
    assert_data_eq!(
        operators.session("promote one.toml --author anna"),
        str![[r#"
$ turmericloft promote one.toml --author anna
error: the log service failed; nothing was promoted

Caused by:
  the log service did not accept the request: 503 Service Unavailable: the log service is down
exit code 1

"#]]
    );
    assert_data_eq!(
        operators.session("audit"),
        str![[r#"
$ turmericloft audit
exit code 0

"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn promotion_with_a_lost_append_is_undecided_until_another_is_accepted() {
    let operators = OperatorShell::start();
    operators.trial_document("one.toml", 4);
    set_log_faults(&operators, r#"{"lose_appends": 1}"#).await;
    let session = operators.session("promote one.toml --author anna --settle-within 0");
    assert_data_eq!(
        &session,
        str![[r#"
$ turmericloft promote one.toml --author anna --settle-within 0
+ budget
+ callers
+ schema: 1
+ services
+ zones
error: undecided: the response of the log service was lost, and the promotion is not in the log yet
it may still take effect; do not retry it, but settle it with
  turmericloft promote --settle 1-[..] --log-service LOG_SERVICE --environment production
exit code 4

"#]]
    );
    let settle = session
        .lines()
        .find_map(|line| line.trim().strip_prefix("turmericloft promote --settle "))
        .and_then(|rest| rest.split_whitespace().next())
        .expect("the session names the command that settles it");
    let settle = format!("promote --settle {settle}");
    assert_data_eq!(
        operators.session(&settle),
        str![[r#"
$ turmericloft promote --settle 1-[..]
error: undecided: the response of the log service was lost, and the promotion is not in the log yet
it may still take effect; do not retry it, but settle it with
  turmericloft promote --settle 1-[..] --log-service LOG_SERVICE --environment production
exit code 4

"#]]
    );
    operators.session("promote one.toml --author ben");
    assert_data_eq!(
        operators.session(&settle),
        str![[r#"
$ turmericloft promote --settle 1-[..]
error: rejected: ben's promotion of 63fdbc783e94 at [..] was accepted first; this document is not active anywhere
production has version 1; see `turmericloft audit`, merge your change into that document,
run `turmericloft trial` with it and promote it again
exit code 3

"#]]
    );
}

#[test]
fn settle_of_an_unknown_promotion_is_undecided_until_its_version_is_accepted() {
    let operators = OperatorShell::start();
    operators.trial_document("one.toml", 4);
    operators.session("promote one.toml --author anna");
    let unused_version = "promote --settle 2-00112233445566778899aabbccddeeff";
    assert_data_eq!(
        operators.session(unused_version),
        str![[r#"
$ turmericloft promote --settle 2-00112233445566778899aabbccddeeff
error: undecided: the response of the log service was lost, and the promotion is not in the log yet
it may still take effect; do not retry it, but settle it with
  turmericloft promote --settle 2-00112233445566778899aabbccddeeff --log-service LOG_SERVICE --environment production
exit code 4

"#]]
    );
    let taken_version = "promote --settle 1-00112233445566778899aabbccddeeff";
    assert_data_eq!(
        operators.session(taken_version),
        str![[r#"
$ turmericloft promote --settle 1-00112233445566778899aabbccddeeff
error: rejected: anna's promotion of 63fdbc783e94 at [..] was accepted first; this document is not active anywhere
production has version 1; see `turmericloft audit`, merge your change into that document,
run `turmericloft trial` with it and promote it again
exit code 3

"#]]
    );
    assert_data_eq!(
        operators.session("promote --settle mine"),
        str![[r#"
$ turmericloft promote --settle mine
error: `mine` is not a promotion id: use the id that was printed
exit code 1

"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn promotion_after_the_document_expired_continues_above_the_recover_version() {
    let operators = OperatorShell::start();
    operators.trial_document("one.toml", 4);
    operators.session("promote one.toml --author anna");
    put(&operators, "/retention", r#"{"records": 0}"#).await;
    put(&operators, "/retention", r#"{"records": null}"#).await;
    operators.write_document("two.toml", 5);
    assert_data_eq!(
        operators.session("trial two.toml --author ben"),
        str![[r#"
$ turmericloft trial two.toml --author ben
error: the accepted document of `trial` is no longer in the log; a running gateway appends it again within 10 s: retry after that; if no gateway is running, add `--recover-above VERSION` with the highest version that any gateway may have
exit code 1

"#]]
    );
    operators.session("trial two.toml --author ben --recover-above 1");
    assert_data_eq!(
        operators.session("promote two.toml --author ben --recover-above 1"),
        str![[r#"
$ turmericloft promote two.toml --author ben --recover-above 1
+ budget
+ callers
+ schema: 1
+ services
+ zones
version 1001 of production is accepted, 68c14949c42c
exit code 0

"#]]
    );
    operators.trial_document("three.toml", 6);
    assert_data_eq!(
        operators.session("promote three.toml --author ben"),
        str![[r#"
$ turmericloft promote three.toml --author ben
~ services[calendar].endpoints[127.0.0.1:9000].slots: 5 -> 6
version 1002 of production is accepted, 2ac4ae5743df
exit code 0

"#]]
    );
}
