//! `turmericloft gateway --platform` as a process, and `turmericloft check --platform`.

use std::fs;

use snapbox::{assert_data_eq, str};
use tempfile::TempDir;

use crate::support::run;

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");

#[test]
fn gateway_without_the_flag_or_the_variable_fails_and_names_what_is_missing() {
    let folder = TempDir::new().expect("an empty folder");
    assert_data_eq!(
        run(TURMERICLOFT, folder.path(), &["gateway"]),
        str![[r#"
exit code: 2
stderr:
error: the following required arguments were not provided:
  --platform

Usage: turmericloft gateway --platform

For more information, try '--help'.

"#]]
    );
    assert_data_eq!(
        run(TURMERICLOFT, folder.path(), &["gateway", "--platform"]),
        str![[r#"
exit code: 1
stderr:
error: TURMERICLOFT_SETTINGS is not set; it must hold the path of the settings file

"#]]
    );
}

#[test]
fn check_of_platform_files_reports_their_kind_and_faults() {
    let folder = TempDir::new().expect("an empty folder");
    let settings = "nodeName: n1\nzone: a\nlisten: {front: \"127.0.0.1:1\", ready: \"x\"}\n\
                    platform: {address: \"127.0.0.1:2\"}\n";
    fs::write(folder.path().join("node.yaml"), settings).expect("written");
    fs::write(
        folder.path().join("good.yaml"),
        settings.replace("\"x\"", "\"127.0.0.1:3\""),
    )
    .expect("written");
    fs::write(folder.path().join("config.json"), "{\"version\": true}").expect("written");
    let check = |file| run(TURMERICLOFT, folder.path(), &["check", "--platform", file]);
    assert_data_eq!(
        check("good.yaml"),
        str![[r#"
exit code: 0
stdout:
good.yaml: settings without faults

"#]]
    );
    assert_data_eq!(
        check("node.yaml"),
        str![[r#"
exit code: 1
stderr:
error: node.yaml cannot be used as settings
  the settings file node.yaml is not valid: listen.ready: invalid socket address syntax at line 3 column 39

"#]]
    );
    assert_data_eq!(
        check("config.json"),
        str![[r#"
exit code: 1
stderr:
error: config.json cannot be used as configuration
  cannot decode version: invalid type: boolean `true`, expected u64 at line 1 column 16

"#]]
    );
}
