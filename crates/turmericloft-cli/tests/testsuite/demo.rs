//! The demo, and the comparison of its report with the counts of the callers.

use std::collections::BTreeMap;

use snapbox::{assert_data_eq, str};
use tempfile::TempDir;
use turmericloft_standins::demo::{RequestCounts, compare_counts};

use crate::support::run;

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");

fn sums(served: u64, unknown: u64) -> BTreeMap<String, RequestCounts> {
    let sum = RequestCounts {
        admitted: served + unknown,
        ended: [served, 0, 0, unknown, 0],
    };
    BTreeMap::from([("parents".to_owned(), sum)])
}

#[test]
fn demo_report_agrees_with_the_calls_sent() {
    let folder = TempDir::new().expect("an empty folder");
    let args = ["demo", "--duration-ms", "600", "--rate", "200"];
    let session = run(TURMERICLOFT, folder.path(), &args);
    assert!(session.starts_with("exit code: 0\n"), "{session}");
    let last = session.lines().last().unwrap_or_default();
    assert_data_eq!(
        last,
        str!["the report adds up to the [..] calls that were sent"]
    );
}

#[test]
fn equal_sums_yield_no_lines() {
    assert!(compare_counts(&sums(7, 1), &sums(7, 1)).is_empty());
}

#[test]
fn different_sums_yield_lines_with_both_sides() {
    let mut reported = sums(7, 1);
    let lost = RequestCounts {
        admitted: 3,
        ended: [2, 0, 0, 0, 0],
    };
    reported.insert("tenants".to_owned(), lost);
    let lines = compare_counts(&reported, &sums(8, 0)).join("\n");
    assert_data_eq!(
        lines,
        str![[r#"
parents: reported admitted 8, served 7, refused 0, not-run 0, unknown 1, unfinished 0; callers saw admitted 8, served 8, refused 0, not-run 0, unknown 0, unfinished 0
tenants: reported admitted 3, served 2, refused 0, not-run 0, unknown 0, unfinished 0; callers saw admitted 0, served 0, refused 0, not-run 0, unknown 0, unfinished 0
tenants: 3 admitted, but 2 ended
"#]]
    );
}
