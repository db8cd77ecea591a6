//! Whole sessions of operators: check, trial, promote, race, lost answer, rejected.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::Method;
use snapbox::{assert_data_eq, str};

use crate::support::{Operators, rival_record};

const FAULTY: &str = r#"schema = 2
colour = "green"

[[zones]]
name = "a"
region = "south"

[[zones]]
name = "a"

[[services]]
name = "calendar"
deadline_ms = 0
kinds = [{ name = "lookup", method = "get", handling = "sometimes" }]
endpoints = [
    { address = "127.0.0.1:9000", zone = "b", slots = 0, connections = "many" },
    { address = "127.0.0.1:9000", zone = "a", slots = 4, connections = 10 },
]

[[services]]
name = "Booking"
deadline_ms = 2000
kinds = []

[[callers]]
name = "web"
token_sha256 = "12ab"
contracts = [{ service = "calender" }, { service = "calendar", kinds = ["look"], in_flight = 0 }]
"#;

const DANGEROUS: &str = r#"schema = 1

[[zones]]
name = "a"
region = "south"

[[services]]
name = "booking"
deadline_ms = 2000
kinds = [
    { name = "book", method = "POST", handling = "guarded", weight = 5 },
    { name = "charge", method = "POST", path = "/charge", handling = "idempotent" },
]
endpoints = [{ address = "127.0.0.1:9000", zone = "a", slots = 4, connections = 2 }]

[[callers]]
name = "web"
token_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
contracts = [{ service = "booking", requests_per_s = 2 }]
"#;

const RESERVED: &str = r#"schema = 1

[[zones]]
name = "overflow-callers"
region = "south"

[[services]]
name = "overflow-callers"
deadline_ms = 2000
kinds = [{ name = "overflow-callers", method = "GET", handling = "idempotent" }]
endpoints = [{ address = "127.0.0.1:9000", zone = "overflow-callers", slots = 4, connections = 9 }]

[[callers]]
name = "overflow-callers"
token_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
contracts = [{ service = "overflow-callers" }]
"#;

async fn control(operators: &Operators, faults: &str) {
    put(operators, "/control", faults).await;
}

async fn put(operators: &Operators, path: &str, faults: &str) {
    let body = Bytes::copy_from_slice(faults.as_bytes());
    let limit = Duration::from_secs(10);
    let put = turmericloft::sources::http_client::call(
        operators.log_service,
        Method::PUT,
        path,
        body,
        limit,
    );
    assert!(put.await.unwrap().status.is_success());
}

#[test]
fn check_reports_every_fault_at_once() {
    let operators = Operators::start();
    operators.write("faulty.toml", FAULTY);
    assert_data_eq!(
        operators.session("check faulty.toml"),
        str![[r#"
$ turmericloft check faulty.toml
error: faulty.toml has 18 faults
  line 1: `schema`: must be 1, found 2
  line 2: `colour`: unknown field `colour`, expected one of `schema`, `budget`, `zones`, `services`, `callers`
  line 8: `zones[1].region`: missing field `region`
  line 9: `zones[1].name`: `a` stands at `zones[0].name` already
  line 13: `services[0].deadline_ms`: must be from 1 to 600000, found 0
  line 14: `services[0].kinds[0].handling`: unknown variant `sometimes`, expected `idempotent` or `guarded`
  line 14: `services[0].kinds[0].method`: must be one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS, found `get`
  line 16: `services[0].endpoints[0].connections`: invalid type: string "many", expected u32
  line 16: `services[0].endpoints[0].zone`: no zone is named `b`; there is a
  line 16: `services[0].endpoints[0].slots`: must be at least 1, found 0
  line 17: `services[0].endpoints[1].address`: `127.0.0.1:9000` stands at `services[0].endpoints[0].address` already
  line 20: `services[1].endpoints`: missing field `endpoints`
  line 21: `services[1].name`: `Booking` is not a name: use 1 to 63 of a-z, 0-9 and inner hyphens
  line 23: `services[1].kinds`: must have at least one entry
  line 27: `callers[0].token_sha256`: must be 64 hexadecimal digits, found 4 characters
  line 28: `callers[0].contracts[0].service`: no service is named `calender`; there is calendar
  line 28: `callers[0].contracts[1].kinds[0]`: no kind is named `look`; there is lookup
  line 28: `callers[0].contracts[1].in_flight`: must be at least 1; leave out the contract to allow nothing
exit code 1

"#]]
    );
}

#[test]
fn check_refuses_reserved_names() {
    let operators = Operators::start();
    operators.write("reserved.toml", RESERVED);
    assert_data_eq!(
        operators.session("check reserved.toml"),
        str![[r#"
$ turmericloft check reserved.toml
error: reserved.toml has 4 faults
  line 4: `zones[0].name`: `overflow-callers` is reserved for lines of reports; use another name
  line 8: `services[0].name`: `overflow-callers` is reserved for lines of reports; use another name
  line 10: `services[0].kinds[0].name`: `overflow-callers` is reserved for lines of reports; use another name
  line 14: `callers[0].name`: `overflow-callers` is reserved for lines of reports; use another name
exit code 1

"#]]
    );
}

#[test]
fn check_reports_every_syntax_fault_at_once() {
    let operators = Operators::start();
    operators.write("cut.toml", "schema = \nzones = []\ncallers = [\n");
    assert_data_eq!(
        operators.session("check cut.toml"),
        str![[r#"
$ turmericloft check cut.toml
error: cut.toml has 2 faults
  line 1: string values must be quoted, expected literal string
  line 3: unclosed array, expected `]`
exit code 1

"#]]
    );
}

#[test]
fn check_warns_of_what_is_legal_but_dangerous() {
    let operators = Operators::start();
    operators.write("dangerous.toml", DANGEROUS);
    assert_data_eq!(
        operators.session("check dangerous.toml"),
        str![[r#"
$ turmericloft check dangerous.toml
dangerous.toml: no faults; 1 services, 1 endpoints, 1 callers
warning: line 12: `services[0].kinds[1]`: never taken: kind `book` before it fits first
warning: line 12: `services[0].kinds[1].handling`: requests with method POST may be sent again
warning: line 14: `services[0].endpoints`: no endpoint is left when zone `a` is lost
warning: line 14: `services[0].endpoints[0].connections`: 2 connections cannot fill 4 slots
warning: line 19: `callers[0].contracts[0].requests_per_s`: 2 is below the weight 5 of kind `book`
exit code 0

"#]]
    );
    assert_data_eq!(
        operators.session("check dangerous.toml --format json"),
        str![[r#"
$ turmericloft check dangerous.toml --format json
{"document":"dangerous.toml","faults":[],"warnings":[{"line":12,"key":"services[0].kinds[1]","message":"never taken: kind `book` before it fits first"},{"line":12,"key":"services[0].kinds[1].handling","message":"requests with method POST may be sent again"},{"line":14,"key":"services[0].endpoints","message":"no endpoint is left when zone `a` is lost"},{"line":14,"key":"services[0].endpoints[0].connections","message":"2 connections cannot fill 4 slots"},{"line":19,"key":"callers[0].contracts[0].requests_per_s","message":"2 is below the weight 5 of kind `book`"}]}
exit code 0

"#]]
    );
}

#[test]
fn check_names_a_file_that_is_not_there() {
    let operators = Operators::start();
    assert_data_eq!(
        operators.session("check none.toml"),
        str![[r#"
$ turmericloft check none.toml
error: cannot read the document none.toml

Caused by:
  No such file or directory (os error 2)
exit code 1

"#]]
    );
}

#[test]
fn document_is_tried_and_promoted_unchanged() {
    let operators = Operators::start();
    operators.write_document("one.toml", 4);
    assert_data_eq!(
        operators.session("promote one.toml --author anna"),
        str![[r#"
$ turmericloft promote one.toml --author anna
error: this document was not in force in `trial`: its digest 63fdbc783e94a5db566052b349c34ef48cb38e776f574e14cc8f6bf5e4692118 is not among the accepted ones there; run `turmericloft trial` with exactly this file first
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
    let operators = Operators::start();
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
async fn loser_of_a_race_is_told_who_won() {
    let operators = Operators::start();
    operators.try_document("one.toml", 4);
    operators.session("promote one.toml --author anna");
    operators.try_document("two.toml", 6);
    let rival = STANDARD.encode(rival_record(4, "ben"));
    control(&operators, &format!(r#"{{"rival_record": "{rival}"}}"#)).await;
    assert_data_eq!(
        operators.session("promote two.toml --author carla"),
        str![[r#"
$ turmericloft promote two.toml --author carla
~ services[calendar].endpoints[127.0.0.1:9000].slots: 4 -> 6
error: rejected: ben, who promoted 90639efdbb51 at 2025-12-03T22:00:00.000Z, was first; this document is in force nowhere
production has version 2; see `turmericloft audit`, bring your change into that document,
try it and promote it again
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
async fn lost_answer_is_settled_by_reading_back() {
    let operators = Operators::start();
    operators.try_document("one.toml", 4);
    control(&operators, r#"{"lose_answers": 1}"#).await;
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
async fn append_that_was_not_taken_promotes_nothing() {
    let operators = Operators::start();
    operators.try_document("one.toml", 4);
    control(&operators, r#"{"reject_appends": 1}"#).await;
    assert_data_eq!(
        operators.session("promote one.toml --author anna"),
        str![[r#"
$ turmericloft promote one.toml --author anna
error: the log service failed; nothing was promoted

Caused by:
  the log service did not take the request: 503 Service Unavailable: the log service is down
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
async fn lost_append_stays_undecided_until_another_is_accepted() {
    let operators = Operators::start();
    operators.try_document("one.toml", 4);
    control(&operators, r#"{"lose_appends": 1}"#).await;
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
error: undecided: the log service's answer was lost, and the promotion is not in the log yet
it may still take effect; do not repeat it, but settle it with
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
error: undecided: the log service's answer was lost, and the promotion is not in the log yet
it may still take effect; do not repeat it, but settle it with
  turmericloft promote --settle 1-[..] --log-service LOG_SERVICE --environment production
exit code 4

"#]]
    );
    operators.session("promote one.toml --author ben");
    assert_data_eq!(
        operators.session(&settle),
        str![[r#"
$ turmericloft promote --settle 1-[..]
error: rejected: ben, who promoted 63fdbc783e94 at [..], was first; this document is in force nowhere
production has version 1; see `turmericloft audit`, bring your change into that document,
try it and promote it again
exit code 3

"#]]
    );
}

#[test]
fn unknown_promotion_stays_undecided() {
    let operators = Operators::start();
    operators.try_document("one.toml", 4);
    operators.session("promote one.toml --author anna");
    let later = "promote --settle 2-00112233445566778899aabbccddeeff";
    assert_data_eq!(
        operators.session(later),
        str![[r#"
$ turmericloft promote --settle 2-00112233445566778899aabbccddeeff
error: undecided: the log service's answer was lost, and the promotion is not in the log yet
it may still take effect; do not repeat it, but settle it with
  turmericloft promote --settle 2-00112233445566778899aabbccddeeff --log-service LOG_SERVICE --environment production
exit code 4

"#]]
    );
    let lost = "promote --settle 1-00112233445566778899aabbccddeeff";
    assert_data_eq!(
        operators.session(lost),
        str![[r#"
$ turmericloft promote --settle 1-00112233445566778899aabbccddeeff
error: rejected: anna, who promoted 63fdbc783e94 at [..], was first; this document is in force nowhere
production has version 1; see `turmericloft audit`, bring your change into that document,
try it and promote it again
exit code 3

"#]]
    );
    assert_data_eq!(
        operators.session("promote --settle mine"),
        str![[r#"
$ turmericloft promote --settle mine
error: `mine` is not a promotion's identifier: use the one that was printed
exit code 1

"#]]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn document_that_expired_is_started_anew_above_all_versions() {
    let operators = Operators::start();
    operators.try_document("one.toml", 4);
    operators.session("promote one.toml --author anna");
    put(&operators, "/retention", r#"{"records": 0}"#).await;
    put(&operators, "/retention", r#"{"records": null}"#).await;
    operators.write_document("two.toml", 5);
    assert_data_eq!(
        operators.session("trial two.toml --author ben"),
        str![[r#"
$ turmericloft trial two.toml --author ben
error: the accepted document of `trial` is no longer in the log; a running gateway appends it again within 10 s: try again then; if no gateway runs, add `--recover-above VERSION` with the highest version that any gateway may have
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
    operators.try_document("three.toml", 6);
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
