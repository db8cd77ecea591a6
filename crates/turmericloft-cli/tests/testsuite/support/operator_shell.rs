//! Operators with a log service and a folder of documents; no gateway runs.

use std::{net::SocketAddr, process::Command};

use tempfile::TempDir;
use turmericloft::core::{Name, config::ConfigRecord, document::Digest};

use super::{Process, gateway::write};

/// A log service and a folder of documents.
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
            folder: TempDir::new().expect("a folder for documents"),
        }
    }

    /// Writes a file into the folder.
    pub fn write(&self, name: &str, text: &str) {
        write(self.folder.path(), name, text);
    }

    /// Writes a valid document whose only endpoint has this many slots.
    pub fn write_document(&self, name: &str, slots: u32) {
        self.write(name, &document(slots));
    }

    /// Writes a valid document and puts it in force in the trial environment.
    pub fn trial_document(&self, name: &str, slots: u32) {
        self.write_document(name, slots);
        let session = self.session(&format!("trial {name} --author anna"));
        assert!(session.contains("is accepted"), "{session}");
    }

    /// Runs a command in the folder and gives the command, its exit code and what it printed.
    pub fn session(&self, line: &str) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_turmericloft"));
        command.current_dir(self.folder.path());
        command.args(line.split_whitespace());
        if !line.starts_with("check") {
            command.args(["--log-service", &self.log_service.to_string()]);
        }
        let output = command.output().expect("the command line runs");
        let code = output.status.code().expect("it ends by itself");
        let (stdout, stderr) = (
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        let text = format!("$ turmericloft {line}\n{stdout}{stderr}exit code {code}\n");
        text.replace(&self.log_service.to_string(), "LOG_SERVICE")
    }
}

/// A record of another operator for version 2 after the document with `parent_slots`.
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
    record.encode().expect("a record can be encoded")
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
