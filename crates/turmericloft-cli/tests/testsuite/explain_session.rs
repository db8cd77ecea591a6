//! `turmericloft explain` with the logs of two gateways.

use std::fs;

use snapbox::{assert_data_eq, str};
use tempfile::TempDir;

use crate::support::run;

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");

const FIRST: &str = r#"{"at_ms":1000,"level":"INFO","message":"document in force version=7 before=Some(6)","target":"t"}
{"at_ms":1900,"level":"INFO","message":"request served: request=r10 route=a status=200","target":"t"}
not JSON
{"at_ms":2000,"level":"INFO","message":"attempt failed: request=r1 route=a outcome=broken","target":"t"}
{"at_ms":2003,"level":"INFO","message":"request not served: request=r1 route=a status=502","target":"t"}
"#;
const SECOND: &str = r#"2026-01-01 gw-2 {"at_ms":2500,"level":"INFO","message":"request served: request=r1 route=a status=200","target":"t"}
"#;

const LIMITED: &str = r#"{"at_ms":1000,"level":"INFO","message":"endpoint limit: endpoint=i-1 event=started per_second=2.7 share=1 gateways=Some(17)","target":"t"}
{"at_ms":2000,"level":"INFO","message":"request held back by limits: request=r3 service=s1 retry_after_ms=400","target":"t"}
{"at_ms":2000,"level":"INFO","message":"request not served: request=r3 route=a status=503","target":"t"}
"#;

fn explain(args: &[&str]) -> String {
    let folder = TempDir::new().expect("an empty folder");
    fs::write(folder.path().join("gw-1.log"), FIRST).expect("written");
    fs::write(folder.path().join("gw-2.log"), SECOND).expect("written");
    fs::write(folder.path().join("gw-3.log"), LIMITED).expect("written");
    run(TURMERICLOFT, folder.path(), args)
}

#[test]
fn request_in_logs_of_two_gateways_is_listed_after_the_state_changes_before_it() {
    assert_data_eq!(
        explain(&["explain", "r1", "gw-1.log", "gw-2.log"]),
        str![[r#"
exit code: 0
stdout:
request r1
   -1000 ms  gw-1.log  document in force version=7 before=Some(6)
      +0 ms  gw-1.log  attempt failed: request=r1 route=a outcome=broken
      +3 ms  gw-1.log  request not served: request=r1 route=a status=502
    +500 ms  gw-2.log  request served: request=r1 route=a status=200
1 lines are not JSON and were skipped

"#]]
    );
}

/// The limit that the gateway learned last stands before the request that it held back.
#[test]
fn request_held_back_by_limits_is_listed_after_what_its_gateway_knew_of_them() {
    assert_data_eq!(
        explain(&["explain", "r3", "gw-3.log"]),
        str![[r#"
exit code: 0
stdout:
request r3
   -1000 ms  gw-3.log  endpoint limit: endpoint=i-1 event=started per_second=2.7 share=1 gateways=Some(17)
      +0 ms  gw-3.log  request held back by limits: request=r3 service=s1 retry_after_ms=400
      +0 ms  gw-3.log  request not served: request=r3 route=a status=503

"#]]
    );
}

#[test]
fn unknown_request_and_missing_log_fail_with_their_cause() {
    assert_data_eq!(
        explain(&["explain", "r2", "gw-1.log"]),
        str![[r#"
exit code: 1
stderr:
error: no log line contains request r2; its lines may have been suppressed (see left_out=)

"#]]
    );
    assert_data_eq!(
        explain(&["explain", "r2", "none.log"]),
        str![[r#"
exit code: 1
stderr:
error: cannot read the log none.log

Caused by:
  No such file or directory (os error 2)

"#]]
    );
}
