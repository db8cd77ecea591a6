//! Invalid settings files and `--set` flags, and the JSON log format.

use std::fs;

use serde_json::Value;
use snapbox::{assert_data_eq, str};
use tempfile::TempDir;

use crate::support::{Process, run};

const GATEWAY: &str = env!("CARGO_BIN_EXE_turmericloft-gateway");
const REPORTER: &str = env!("CARGO_BIN_EXE_turmericloft-reporter");

fn run_with(program: &str, settings: &str, flags: &[&str]) -> String {
    let folder = TempDir::new().expect("a folder for settings");
    fs::write(folder.path().join("settings.toml"), settings).expect("the folder can be written");
    let args = [&["--settings", "settings.toml"], flags].concat();
    run(program, folder.path(), &args)
}

#[test]
fn invalid_settings_file_reports_every_fault() {
    let settings = r#"host = "Gateway 1"
zonne = "a"
environment = "production"
listen = "localhost:80"
admin = 8081
log_service = "127.0.0.1:7000"
reporter = "127.0.0.1:8082"
max_head_bytes = 100
log_format = "xml"

[peers]
listen = "127.0.0.1:9000"
certificate = "c.pem"
keys = "k.pem"
"#;
    assert_data_eq!(
        run_with(GATEWAY, settings, &[]),
        str![[r#"
exit code: 1
stderr:
error: the settings are not valid
  settings.toml:1: `host`: `Gateway 1` is not a name: use 1 to 63 of a-z, 0-9 and inner hyphens; allowed: 1 to 63 of a-z, 0-9 and inner hyphens
  settings.toml:2: `zonne`: unknown field `zonne`, expected one of `host`, `zone`, [..]
  settings.toml:4: `listen`: invalid socket address syntax; allowed: an IP address with a port, as "10.0.0.1:8080"
  settings.toml:5: `admin`: invalid type: integer `8081`, expected socket address; allowed: an IP address with a port, as "10.0.0.1:8080"
  settings.toml:8: `max_head_bytes`: 100 bytes are too few; allowed: a whole number of bytes, at least 8192
  settings.toml:9: `log_format`: unknown variant `xml`, expected `text` or `json`; allowed: "text" or "json"
  settings.toml:14: `peers`: unknown field `keys`, expected one of `listen`, `certificate`, `key`, `authorities`; allowed: a table of listen, certificate, key and authorities
  settings.toml: `zone`: missing; allowed: 1 to 63 of a-z, 0-9 and inner hyphens
  settings.toml: `host_list`: missing; allowed: an IP address with a port, as "10.0.0.1:8080"

"#]]
    );
}

#[test]
fn invalid_toml_is_reported_with_line_numbers() {
    let settings = "host = \"gw-1\"\nzone = a\nlisten \"127.0.0.1:0\"\n";
    assert_data_eq!(
        run_with(GATEWAY, settings, &[]),
        str![[r#"
exit code: 1
stderr:
error: the settings are not valid
  settings.toml:3: key with no value, expected `=`
  settings.toml:2: string values must be quoted, expected literal string

"#]]
    );
}

#[test]
fn set_flag_overrides_the_file_and_is_validated_like_it() {
    let settings = "host = \"gw-1\"\nenvironment = \"Production\"\nlisten = \"127.0.0.1:0\"\n";
    let flags = [
        "--set",
        "environment=production",
        "--set",
        "log_service=nowhere",
        "--set",
        "colour=7",
    ];
    assert_data_eq!(
        run_with(REPORTER, settings, &flags),
        str![[r#"
exit code: 1
stderr:
error: the settings are not valid
  --set: `colour`: unknown field `colour`, expected one of `host`, `environment`, `listen`, `log_service`, `log_format`
  --set: `log_service`: invalid socket address syntax; allowed: an IP address with a port, as "10.0.0.1:8080"

"#]]
    );
}

/// Settings of a gateway, up to its tables.
const SETTINGS: &str = r#"host = "gw-1"
zone = "a"
environment = "production"
listen = "127.0.0.1:0"
admin = "127.0.0.1:0"
log_service = "127.0.0.1:1"
host_list = "127.0.0.1:1"
reporter = "127.0.0.1:1"
"#;

#[test]
fn json_log_format_writes_log_lines_as_json() {
    let folder = TempDir::new().expect("a folder for settings");
    let path = folder.path().join("settings.toml");
    let settings = SETTINGS.to_owned() + "log_format = \"json\"\n";
    fs::write(&path, settings).expect("the folder can be written");
    let path = path.to_str().expect("a text path");
    let mut gateway = Process::start(GATEWAY, &["--settings", path]);
    let line = gateway.wait_for_line("listens on");
    assert_data_eq!(
        &line,
        str![[r#"
{"at_ms":[..],"level":"INFO","message":"gateway gw-1 listens on 127.0.0.1:[..] for callers and 127.0.0.1:[..] for operators","target":"turmericloft::ops::gateway::run"}

"#]]
    );
    let line: Value = serde_json::from_str(&line).expect("the line is JSON");
    assert!(line["at_ms"].is_u64(), "{line}");
}

#[test]
fn fault_in_the_guard_table_lists_the_allowed_keys() {
    let unknown = format!("{SETTINGS}\n[guard]\nsecret = \"s\"\nsecrets = \"s\"\n");
    let soon = format!("{SETTINGS}\n[guard]\nid_lifetime_ms = \"soon\"\n");
    let sessions = [unknown, soon].map(|s| run_with(GATEWAY, &s, &[]));
    assert_data_eq!(
        sessions.concat(),
        str![[r#"
exit code: 1
stderr:
error: the settings are not valid
  settings.toml:12: `guard`: unknown field `secrets`, expected one of `secret`, `previous_secret`, `id_lifetime_ms`, `key_lifetime_ms`, `actions`, `bytes`, `answer_bytes`; allowed: a table of secret and previous_secret (texts), id_lifetime_ms and key_lifetime_ms (whole milliseconds), actions, bytes and answer_bytes (whole numbers)
exit code: 1
stderr:
error: the settings are not valid
  settings.toml:10: `guard`: invalid type: string "soon", expected u64; allowed: a table of secret and previous_secret (texts), id_lifetime_ms and key_lifetime_ms (whole milliseconds), actions, bytes and answer_bytes (whole numbers)

"#]]
    );
}

#[test]
fn missing_settings_file_is_reported() {
    let folder = TempDir::new().expect("a folder for settings");
    let args = ["--settings", "nothing.toml"];
    assert_data_eq!(
        run(GATEWAY, folder.path(), &args),
        str![[r#"
exit code: 1
stderr:
error: cannot read the settings file nothing.toml

Caused by:
  No such file or directory (os error 2)

"#]]
    );
}

#[test]
fn set_flag_without_a_value_exits_with_code_2() {
    assert_data_eq!(
        run_with(GATEWAY, "", &["--set", "zone"]),
        str![[r#"
exit code: 2
stderr:
error: invalid value 'zone' for '--set <KEY=VALUE>': write KEY=VALUE, with a key of the settings file

For more information, try '--help'.

"#]]
    );
}
