//! Runs the `turmericloft` command line against a log service, without a gateway.

use std::{net::SocketAddr, process::Command};

use tempfile::TempDir;
use turmericloft::core::{Name, config::ConfigRecord, document::Digest};

use super::{Process, gateway::write};

/// A log service, and a working directory with the documents that commands refer to.
pub struct OperatorShell {
    pub log_service: SocketAddr,
    _log: Process,
    folder: TempDir,
}

impl OperatorShell {
    /// Starts the log service.
    pub fn start() -> Self {
        let mut log = Process::start(env!("CARGO_BIN_EXE_turmericloft-standin"), &["log"]);
        Self {
            log_service: log.addresses()[0],
            _log: log,
            folder: TempDir::new().expect("a temporary folder can be created"),
        }
    }

    /// Writes a file into the working directory.
    pub fn write(&self, name: &str, text: &str) {
        write(self.folder.path(), name, text);
    }

    /// Writes a valid document whose only endpoint has this many slots.
    pub fn write_document(&self, name: &str, slots: u32) {
        self.write(name, &document(slots));
    }

    /// Writes a valid document and activates it in the trial environment, which `promote` requires.
    pub fn trial_document(&self, name: &str, slots: u32) {
        self.write_document(name, slots);
        let session = self.session(&format!("trial {name} --author anna"));
        assert!(session.contains("is accepted"), "{session}");
    }

    /// Runs `turmericloft` with the arguments in `line`, and returns the command line, its output and
    /// its exit code. The address of the log service is printed as `LOG_SERVICE`.
    pub fn session(&self, line: &str) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_turmericloft"));
        command.current_dir(self.folder.path());
        command.args(line.split_whitespace());
        if !line.starts_with("check") {
            command.args(["--log-service", &self.log_service.to_string()]);
        }
        let output = command.output().expect("the command starts");
        let code = output.status.code().expect("the command exits by itself");
        let (stdout, stderr) = (
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        let text = format!("$ turmericloft {line}\n{stdout}{stderr}exit code {code}\n");
        text.replace(&self.log_service.to_string(), "LOG_SERVICE")
    }
}

/// Encoded configuration record of a concurrent promotion of version 2 by `author`. Its parent is
/// the document whose only endpoint has `parent_slots` slots.
pub fn rival_record(parent_slots: u32, author: &str) -> Vec<u8> {
    let document = document(99);
    let record = ConfigRecord {
        version: 2,
        parent: Some(Digest::of(self::document(parent_slots).as_bytes())),
        promotion_id: "2-rival".to_owned(),
        author: Name::new(author).expect("the name is valid"),
        promoted_at_ms: 1_764_799_200_000,
        digest: Digest::of(document.as_bytes()),
        document,
    };
    record.encode().expect("the record can be encoded")
}

fn document(slots: u32) -> String {
    let token = Digest::of(b"web-token");
    format!(
        r#"schema = 1

[[zones]]
name = "a"
region = "south"

[[services]]
name = "calendar"
deadline_ms = 2000
kinds = [{{ name = "lookup", method = "GET", handling = "idempotent" }}]
endpoints = [{{ address = "127.0.0.1:9000", zone = "a", slots = {slots}, connections = 250 }}]

[[callers]]
name = "web"
token_sha256 = "{token}"
contracts = [{{ service = "calendar" }}]
"#
    )
}
