//! A whole installation as separate processes: stand-ins, gateway and reporter.

use std::{fs, net::SocketAddr, path::PathBuf, process::Command};

use tempfile::TempDir;

use super::Process;

/// Stand-ins, one backend server, one gateway and one reporter.
pub struct Platform {
    pub log_service: SocketAddr,
    pub backend: SocketAddr,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub gateway: Process,
    pub reporter: Process,
    pub reporter_address: SocketAddr,
    _stand_ins: Vec<Process>,
    folder: TempDir,
}

const ANY_PORT: &str = "127.0.0.1:0";

impl Platform {
    /// Token of the caller `web`, which may use both services.
    pub const TOKEN: &str = "web-token";

    /// Starts everything and waits until the gateway listens. Nothing is promoted yet.
    pub fn start() -> Self {
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
             host_list = \"{host_list}\"\nreporter = \"{reporter_address}\"\n"
        );
        write(&folder, "gateway.toml", &gateway_settings);
        let mut gateway = start_gateway(&folder);
        let addresses = gateway.addresses();
        Self {
            log_service,
            backend: backend_address,
            callers: addresses[0],
            admin: addresses[1],
            gateway,
            reporter,
            reporter_address,
            _stand_ins: vec![log, hosts, backend],
            folder,
        }
    }

    /// Starts the gateway again in place of the one that ended, and waits until it is ready.
    pub fn restart_gateway(&mut self) {
        self.gateway = start_gateway(&self.folder);
        let addresses = self.gateway.addresses();
        self.callers = addresses[0];
        self.admin = addresses[1];
        self.gateway.wait_for_line("is in force");
    }

    /// Promotes a document with a lookup service and a booking service at the backend server.
    pub fn promote(&mut self) {
        let backend = self.backend;
        let token = turmericloft::core::document::Digest::of(Self::TOKEN.as_bytes());
        let document = format!(
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
        );
        let path = write(&self.folder, "document.toml", &document);
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

fn start_gateway(folder: &TempDir) -> Process {
    let path = folder.path().join("gateway.toml");
    let args = ["--settings", path.to_str().expect("a text path")];
    Process::start(env!("CARGO_BIN_EXE_turmericloft-gateway"), &args)
}

fn write(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text).expect("the folder can be written");
    path
}
