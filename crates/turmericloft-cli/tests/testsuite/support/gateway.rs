//! A gateway as a process, with what it needs to meet others.

use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use turmericloft::sources::peer::PeerIdentity;

use super::Process;

/// A running gateway.
pub struct GatewayProcess {
    pub name: String,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub process: Process,
}

/// Where the platform's parts listen.
#[derive(Clone, Copy)]
pub struct PlatformAddresses {
    pub log_service: SocketAddr,
    pub host_list: SocketAddr,
    pub reporter: SocketAddr,
}

/// Writes certificate, key and authorities into `folder`, over earlier ones.
pub fn write_identity(folder: &Path) {
    let identity = PeerIdentity::generate().expect("certificates can be made");
    write(folder, "certificate.pem", &identity.certificate);
    write(folder, "key.pem", &identity.key);
    write(folder, "authorities.pem", &identity.authorities);
}

/// Starts a gateway whose settings and identity are in `folder`. `lines` stand first in the
/// settings.
pub fn start_gateway(
    folder: &Path,
    name: &str,
    platform: &PlatformAddresses,
    lines: &str,
) -> GatewayProcess {
    let path = write(
        folder,
        &format!("{name}.toml"),
        &(lines.to_owned() + &settings(folder, name, platform)),
    );
    let args = ["--settings", path.to_str().expect("a text path")];
    let mut process = Process::start(env!("CARGO_BIN_EXE_turmericloft-gateway"), &args);
    let addresses = process.addresses();
    GatewayProcess {
        name: name.to_owned(),
        caller_address: addresses[0],
        admin_address: addresses[1],
        peer_address: addresses[2],
        process,
    }
}

/// Writes a file and gives its path.
pub fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    fs::write(&path, text).expect("the folder can be written");
    path
}

fn settings(folder: &Path, name: &str, platform: &PlatformAddresses) -> String {
    let mut text = format!(
        "host = \"{name}\"\nzone = \"a\"\nenvironment = \"production\"\n\
         listen = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\nlog_service = \"{}\"\n\
         host_list = \"{}\"\nreporter = \"{}\"\n\n[peers]\nlisten = \"127.0.0.1:0\"\n",
        platform.log_service, platform.host_list, platform.reporter,
    );
    for key in ["certificate", "key", "authorities"] {
        let path = folder.join(key).with_extension("pem");
        let _ = writeln!(text, "{key} = \"{}\"", path.display());
    }
    text.push_str("\n[guard]\nsecret = \"shared by the gateways of these tests\"\n");
    text
}
