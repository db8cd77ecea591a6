//! Starts and ends gateways: the project's program, with the command of the deploy file.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/turmericloft";

/// A host with a gateway.
pub struct Gateway {
    pub name: String,
    zone: String,
    ip: String,
    store: SocketAddr,
    bounds: Vec<String>,
    dir: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    pub fn new(
        (name, zone, ip): (&str, &str, String),
        store: SocketAddr,
        bounds: &[&str],
        dir: &Path,
    ) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip,
            store,
            bounds: bounds.iter().map(|b| (*b).to_owned()).collect(),
            dir: dir.to_owned(),
            child: None,
        }
    }

    /// Address at which clients connect.
    pub fn front(&self) -> SocketAddr {
        format!("{}:8641", self.ip).parse().unwrap()
    }

    fn settings(&self, is_bootstrap: bool) -> String {
        let Self { name, zone, ip, store, .. } = self;
        let bounds: Vec<_> = self.bounds.iter().map(|b| format!("  - \"{b}\"\n")).collect();
        format!(
            "nodeName: \"{name}\"\nrole: \"gateway\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\nip: \"{ip}\"\n\
             zone: \"{zone}\"\nlisten:\n  front: \"{ip}:8641\"\n  ready: \"{ip}:8640\"\ninternalPorts:\n  - 7620\n  \
             - 7635\nbootstrap: {is_bootstrap}\nlimits:\n  cpuShare: 0.2\n  cores: 1\n  memoryMb: 260\n  \
             maxFds: 4100\n  linkMbps: 1000.0\nheartbeatS: 1.5\nbounds:\n{}platform:\n  address: \"{store}\"\n  \
             form: \"log\"\n",
            bounds.concat()
        )
    }

    /// Starts the process; `is_bootstrap` as the whole system starts for the first time.
    pub fn start(&mut self, is_bootstrap: bool) {
        let settings = self.dir.join(format!("{}.yaml", self.name));
        fs::write(&settings, self.settings(is_bootstrap)).unwrap();
        let path = self.dir.join(format!("{}.log", self.name));
        let log = OpenOptions::new().create(true).append(true).open(path).unwrap();
        let child = Command::new(PROGRAM)
            .args(["gateway", "--platform"])
            .env("TURMERICLOFT_SETTINGS", &settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        note_pid(child.id());
        self.child = Some(child);
    }

    /// Waits until the readiness check is answered with 200. Returns false after the limit.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let address: SocketAddr = format!("{}:8640", self.ip).parse().unwrap();
        while Instant::now() < until {
            if is_ready(address) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args([signal, &pid]).status();
        }
    }

    /// Stops the process with SIGTERM, and with SIGKILL after `grace`.
    pub fn terminate(&mut self, grace: Duration) {
        self.signal("-TERM");
        let until = Instant::now() + grace;
        if let Some(child) = &mut self.child {
            while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(20));
            }
        }
        self.kill();
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget_pid(child.id());
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Notes a process, which the script ends if this program does not.
fn note_pid(pid: u32) {
    if let Some(path) = std::env::var_os("PIDS") {
        let file: Option<File> = OpenOptions::new().append(true).open(path).ok();
        if let Some(mut file) = file {
            let _ = writeln!(file, "{pid}");
        }
    }
}

/// Removes a process that has ended: its number may be that of another one by now.
fn forget_pid(pid: u32) {
    if let Some(path) = std::env::var_os("PIDS") {
        let text = fs::read_to_string(&path).unwrap_or_default();
        let left = text.lines().filter(|line| *line != pid.to_string());
        let left: String = left.map(|line| format!("{line}\n")).collect();
        let _ = fs::write(path, left);
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let limit = Duration::from_millis(300);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let asked = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    let answer = crate::http::Reader::new().next(&mut stream);
    asked.is_ok() && answer.is_ok_and(|a| a.is_some_and(|a| a.status() == 200))
}
