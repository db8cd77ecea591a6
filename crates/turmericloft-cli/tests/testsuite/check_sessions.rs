//! Sessions of `turmericloft check`: all faults in one run, and warnings about valid documents.

use snapbox::{assert_data_eq, str};

use crate::support::OperatorShell;

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

#[test]
fn check_of_a_faulty_document_reports_every_fault() {
    let operators = OperatorShell::start();
    operators.write("faulty.toml", FAULTY);
    assert_data_eq!(
        operators.session("check faulty.toml"),
        str![[r#"
$ turmericloft check faulty.toml
error: faulty.toml has 18 faults
  line 1: `schema`: must be 1, found 2
  line 2: `colour`: unknown field `colour`, expected one of `schema`, `budget`, `zones`, `services`, `callers`
  line 8: `zones[1].region`: missing field `region`
  line 9: `zones[1].name`: duplicate value `a`; already used at `zones[0].name`
  line 13: `services[0].deadline_ms`: must be from 1 to 600000, found 0
  line 14: `services[0].kinds[0].handling`: unknown variant `sometimes`, expected `idempotent` or `guarded`
  line 14: `services[0].kinds[0].method`: must be one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS, found `get`
  line 16: `services[0].endpoints[0].connections`: invalid type: string "many", expected u32
  line 16: `services[0].endpoints[0].zone`: unknown zone `b`; known zones: a
  line 16: `services[0].endpoints[0].slots`: must be at least 1, found 0
  line 17: `services[0].endpoints[1].address`: duplicate value `127.0.0.1:9000`; already used at `services[0].endpoints[0].address`
  line 20: `services[1].endpoints`: missing field `endpoints`
  line 21: `services[1].name`: `Booking` is not a name: use 1 to 63 of a-z, 0-9 and inner hyphens
  line 23: `services[1].kinds`: must have at least one entry
  line 27: `callers[0].token_sha256`: must be 64 hexadecimal digits, found 4 characters
  line 28: `callers[0].contracts[0].service`: unknown service `calender`; known services: calendar
  line 28: `callers[0].contracts[1].kinds[0]`: unknown kind `look`; known kinds: lookup
  line 28: `callers[0].contracts[1].in_flight`: must be at least 1; to allow no requests, remove the contract
exit code 1

"#]]
    );
}

#[test]
fn check_of_reserved_names_reports_each_as_a_fault() {
    let operators = OperatorShell::start();
    operators.write("reserved.toml", RESERVED);
    assert_data_eq!(
        operators.session("check reserved.toml"),
        str![[r#"
$ turmericloft check reserved.toml
error: reserved.toml has 4 faults
  line 4: `zones[0].name`: `overflow-callers` is reserved for rows of reports; use another name
  line 8: `services[0].name`: `overflow-callers` is reserved for rows of reports; use another name
  line 10: `services[0].kinds[0].name`: `overflow-callers` is reserved for rows of reports; use another name
  line 14: `callers[0].name`: `overflow-callers` is reserved for rows of reports; use another name
exit code 1

"#]]
    );
}

#[test]
fn check_of_invalid_toml_reports_every_syntax_fault() {
    let operators = OperatorShell::start();
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
fn check_of_a_valid_but_dangerous_document_prints_warnings() {
    let operators = OperatorShell::start();
    operators.write("dangerous.toml", DANGEROUS);
    assert_data_eq!(
        operators.session("check dangerous.toml"),
        str![[r#"
$ turmericloft check dangerous.toml
dangerous.toml: no faults; 1 services, 1 endpoints, 1 callers
warning: line 12: `services[0].kinds[1]`: never matched: the earlier kind `book` matches all its requests
warning: line 12: `services[0].kinds[1].handling`: requests with method POST may be retried
warning: line 14: `services[0].endpoints`: all endpoints are in zone `a`; the service fails if that zone does
warning: line 14: `services[0].endpoints[0].connections`: 2 connections cannot use all 4 slots
warning: line 19: `callers[0].contracts[0].requests_per_s`: limit 2 is below the weight 5 of kind `book`
exit code 0

"#]]
    );
    assert_data_eq!(
        operators.session("check dangerous.toml --format json"),
        str![[r#"
$ turmericloft check dangerous.toml --format json
{"document":"dangerous.toml","faults":[],"warnings":[{"line":12,"key":"services[0].kinds[1]","message":"never matched: the earlier kind `book` matches all its requests"},{"line":12,"key":"services[0].kinds[1].handling","message":"requests with method POST may be retried"},{"line":14,"key":"services[0].endpoints","message":"all endpoints are in zone `a`; the service fails if that zone does"},{"line":14,"key":"services[0].endpoints[0].connections","message":"2 connections cannot use all 4 slots"},{"line":19,"key":"callers[0].contracts[0].requests_per_s","message":"limit 2 is below the weight 5 of kind `book`"}]}
exit code 0

"#]]
    );
}

#[test]
fn check_of_a_missing_file_names_the_file() {
    let operators = OperatorShell::start();
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

/// The third equal value is reported against the first one, as the second is.
#[test]
fn each_duplicate_is_reported_against_the_first_value() {
    let operators = OperatorShell::start();
    operators.write(
        "zones.toml",
        "schema = 1\nservices = []\ncallers = []\n\
         [[zones]]\nname = \"a\"\nregion = \"r\"\n\
         [[zones]]\nname = \"a\"\nregion = \"r\"\n\
         [[zones]]\nname = \"a\"\nregion = \"r\"\n",
    );
    let session = operators.session("check zones.toml");
    for i in [1, 2] {
        let finding =
            format!("`zones[{i}].name`: duplicate value `a`; already used at `zones[0].name`");
        assert!(session.contains(&finding), "{session}");
    }
}
