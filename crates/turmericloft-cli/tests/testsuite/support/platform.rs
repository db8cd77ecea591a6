//! A whole installation as separate processes: stand-ins, gateway and reporter.

use std::{fs, net::SocketAddr, path::PathBuf, process::Command};

use tempfile::TempDir;

use super::{Process, caller::put_json};

/// Stand-ins, one backend server, one gateway and one reporter.
pub struct Platform {
    pub log_service: SocketAddr,
    pub backend: SocketAddr,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub gateway: Process,
    pub reporter: Process,
    _stand_ins: Vec<Process>,
    folder: TempDir,
}

const ANY_PORT: &str = "127.0.0.1:0";

impl Platform {
    /// Token of the caller `web`, which may use both services.
    pub const TOKEN: &str = "web-token";

    /// Starts everything and waits until the gateway listens. Nothing is promoted yet.
    pub fn start() -> Self {
        Self::start_with("")
    }

    /// The same, with further lines in the gateway's settings.
    pub fn start_with(gateway_lines: &str) -> Self {
        let folder = TempDir::new().expect("a folder for settings");
        let mut log = Process::start(env!("CARGO_BIN_EXE_turmericloft-standin"), &["log"]);
        let mut hosts = Process::start(env!("CARGO_BIN_EXE_turmericloft-standin"), &["hosts"]);
        let mut backend = Process::start(env!("CARGO_BIN_EXE_turmericloft-standin"), &["backend"]);
        let log_service = log.addresses()[0];
        let host_list = hosts.addresses()[0];
        let backend_address = backend.addresses()[0];
        let reporter_settings = format!(
            "host = \"gw-1\"\nenvironment = \"production\"\nlisten = \"{ANY_PORT}\"\n\
             log_service = \"{log_service}\"\n"
        );
        let path = write(&folder, "reporter.toml", &reporter_settings);
        let args = ["--settings", path.to_str().expect("a text path")];
        let mut reporter = Process::start(env!("CARGO_BIN_EXE_turmericloft-reporter"), &args);
        let reporter_address = reporter.addresses()[0];
        let gateway_settings = format!(
            "host = \"gw-1\"\nzone = \"a\"\nenvironment = \"production\"\n\
             listen = \"{ANY_PORT}\"\nadmin = \"{ANY_PORT}\"\nlog_service = \"{log_service}\"\n\
             host_list = \"{host_list}\"\nreporter = \"{reporter_address}\"\n{gateway_lines}"
        );
        let path = write(&folder, "gateway.toml", &gateway_settings);
        let args = ["--settings", path.to_str().expect("a text path")];
        let mut gateway = Process::start(env!("CARGO_BIN_EXE_turmericloft-gateway"), &args);
        let addresses = gateway.addresses();
        Self {
            log_service,
            backend: backend_address,
            callers: addresses[0],
            admin: addresses[1],
            gateway,
            reporter,
            _stand_ins: vec![log, hosts, backend],
            folder,
        }
    }

    /// Starts everything with the document of [`Self::promote`] in force.
    pub fn start_promoted() -> Self {
        let mut platform = Self::start();
        platform.promote();
        platform
    }

    /// Replaces the behaviour of the backend server; `behaviour` is JSON.
    pub async fn backend_behaves(&self, behaviour: &str) {
        let answer = put_json(self.backend, "/control", behaviour).await;
        assert_eq!(answer.status, 200, "{behaviour} is no behaviour");
    }

    /// Promotes [`Self::document`].
    pub fn promote(&mut self) {
        self.promote_document(&self.document());
    }

    /// A document with a lookup service and a booking service at the backend server.
    pub fn document(&self) -> String {
        let backend = self.backend;
        let token = turmericloft::core::document::Digest::of(Self::TOKEN.as_bytes());
        format!(
            r#"schema = 1

[[zones]]
name = "a"
region = "south"

[[services]]
name = "calendar"
deadline_ms = 2000
kinds = [{{ name = "lookup", method = "GET", handling = "idempotent" }}]
endpoints = [{{ address = "{backend}", zone = "a", slots = 4, connections = 250 }}]

[[services]]
name = "booking"
deadline_ms = 2000
kinds = [{{ name = "book", method = "POST", handling = "guarded", weight = 5 }}]
endpoints = [{{ address = "{backend}", zone = "a", slots = 4, connections = 250 }}]

[[callers]]
name = "web"
token_sha256 = "{token}"
contracts = [{{ service = "calendar" }}, {{ service = "booking" }}]
"#
        )
    }

    /// Promotes a document.
    pub fn promote_document(&mut self, document: &str) {
        let path = write(&self.folder, "document.toml", document);
        let path = path.to_str().expect("a text path");
        self.turmericloft(&["promote", path, "--author", "anna"]);
        self.gateway.wait_for_line("is in force");
    }

    /// Runs the command line against this installation and gives what it printed.
    pub fn turmericloft(&self, args: &[&str]) -> String {
        let log_service = self.log_service.to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_turmericloft"))
            .args(args)
            .args(["--log-service", &log_service, "--environment", "production"])
            .output()
            .expect("the command line runs");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "turmericloft {args:?} failed:\n{stderr}"
        );
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

fn write(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text).expect("the folder can be written");
    path
}
