//! Sessions of `turmericloft-bench worth`.

use std::fs;

use super::{output, run};

const ENTRY: &str = r#"{"id": "a", "site": "s", "days": [{"name": "trouble-1", "G": 0.5,
    "served": 0.9, "refused": 0.0, "failed": 0.0, "rules": {},
    "parts": [["worst windows", 0.4, 0.5]], "prices": [["cloud calls", 9.0, 0.3]]}]}"#;

#[test]
fn losses_of_an_entry_are_printed_and_drawn() {
    let dir = tempfile::tempdir().expect("a directory");
    let entry = dir.path().join("entry.json");
    let svg = dir.path().join("losses.svg");
    fs::write(&entry, ENTRY).expect("written");
    let (entry, plot) = (entry.display().to_string(), svg.display().to_string());
    let printed = output(&["worth", &entry, "--svg", &plot]);
    assert!(
        printed.starts_with("s trouble-1: worth 0.500,"),
        "{printed}"
    );
    assert!(printed.contains("-0.300  cloud calls  [9]"), "{printed}");
    let plot = fs::read_to_string(svg).expect("the plot");
    assert!(plot.contains("cloud calls: 0.300"), "{plot}");
}

#[test]
fn entry_that_does_not_exist_is_named_with_its_cause() {
    let output = run(&["worth", "no-such-entry.json"]);
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("no-such-entry.json"), "{stderr}");
    assert!(stderr.contains("Caused by:"), "{stderr}");
}
