//! Starts gateways with the command of the deploy file, and ends them.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The part of the settings that differs between cases.
#[derive(Clone)]
pub struct Deployment {
    pub zones: Vec<String>,
    pub memory_mb: u64,
    pub bounds: Vec<String>,
}

/// One gateway process.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// Where a gateway runs.
pub struct Place<'a> {
    pub name: String,
    pub zone: &'a str,
    pub ip: String,
    pub store: SocketAddr,
    pub is_bootstrap: bool,
}

impl Gateway {
    /// Starts a gateway, with its settings and its log in `dir`.
    pub fn start(dir: &Path, deployment: &Deployment, place: &Place<'_>) -> Self {
        let Place { name, zone, ip, store, is_bootstrap } = place;
        let Deployment { zones, memory_mb, bounds } = deployment;
        let zones: String = zones.iter().map(|z| format!("  {z}: \"region\"\n")).collect();
        let bounds: String = bounds.iter().map(|b| format!("  - \"{b}\"\n")).collect();
        let settings = format!(
            "nodeName: \"{name}\"\nrole: \"gateway\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\nip: \"{ip}\"\n\
             zone: \"{zone}\"\nregion: \"region\"\nzones:\n{zones}listen:\n  front: \"{ip}:8641\"\n  ready: \"{ip}:8640\"\n  \
             control: \"{ip}:8649\"\ninternalPorts:\n  - 7620\n  - 7635\nseeds: []\nbootstrap: {is_bootstrap}\n\
             inTolerance: false\nlimits:\n  cpuShare: 0.2\n  cores: 1\n  memoryMb: {memory_mb}\n  maxFds: 4100\n  \
             linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatS: 1.5\n\
             bounds:\n{bounds}platform:\n  address: \"{store}\"\n  form: \"log\"\n"
        );
        let path: PathBuf = dir.join(format!("{name}.yaml"));
        fs::write(&path, settings).unwrap();
        let log = File::options().create(true).append(true).open(dir.join(format!("{name}.log"))).unwrap();
        let child = Command::new("target/release/turmericloft")
            .args(["gateway", "--platform"])
            .env("TURMERICLOFT_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        remember(child.id());
        let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
        Self { front: address(8641), ready: address(8640), child }
    }

    /// Kills the process, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_ready(self.ready).unwrap_or(false) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    use std::io::Write;
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    let response = crate::http::Reader::new(stream).next()?;
    Ok(response.is_some_and(|r| r.status() == 200))
}

/// Notes a process in the file that `PIDS` names, for the script that ends what is left.
fn remember(pid: u32) {
    use std::io::Write;
    let Some(path) = std::env::var_os("PIDS") else { return };
    if let Ok(mut file) = File::options().create(true).append(true).open(path) {
        let _ = writeln!(file, "{pid}");
    }
}

/// Three first bytes of a loopback network that this run uses.
pub fn network() -> String {
    let pid = std::process::id();
    format!("127.{}.{}", 100 + pid % 100, pid / 100 % 250)
}
