//! Lines of the log.

use turmericloft::util::logging::escape_controls;

/// Guards against a name of another party that ends a line of the log and begins one of its own.
#[test]
fn line_has_no_control_characters() {
    let line = "endpoint=a\r\nINFO gateway: \u{1b}[2Jdone\0";
    let escaped = escape_controls(line);
    assert_eq!(
        escaped,
        "endpoint=a\\r\\nINFO gateway: \\u{1b}[2Jdone\\u{0}"
    );
    assert_eq!(
        escape_controls("endpoint=a\u{e9} + b"),
        "endpoint=a\u{e9} + b"
    );
}
