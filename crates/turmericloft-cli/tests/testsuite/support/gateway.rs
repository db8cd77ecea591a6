//! Gateway processes: settings file, certificates for peer connections, and start.

use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use turmericloft::sources::peer::PeerIdentity;

use super::Process;

/// A running gateway and the addresses that it listens on.
pub struct GatewayProcess {
    pub name: String,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub process: Process,
}

/// Addresses of the services that each gateway is configured with.
#[derive(Clone, Copy)]
pub struct PlatformAddresses {
    pub log_service: SocketAddr,
    pub host_list: SocketAddr,
    pub reporter: SocketAddr,
}

/// Writes a new certificate, key and list of authorities for peer connections into `folder`,
/// replacing existing files.
pub fn write_identity(folder: &Path) {
    let identity = PeerIdentity::generate().expect("certificates can be generated");
    write(folder, "certificate.pem", &identity.certificate);
    write(folder, "key.pem", &identity.key);
    write(folder, "authorities.pem", &identity.authorities);
}

/// Starts a gateway with a settings file written to `folder`, which holds the identity of
/// [`write_identity`]. `extra_settings` are TOML lines put before the others, outside of any table.
pub fn start_gateway(
    folder: &Path,
    name: &str,
    platform: &PlatformAddresses,
    extra_settings: &str,
) -> GatewayProcess {
    let path = write(
        folder,
        &format!("{name}.toml"),
        &(extra_settings.to_owned() + &settings(folder, name, platform)),
    );
    let args = ["--settings", path.to_str().expect("the path is UTF-8")];
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

/// Writes a file and returns its path.
pub fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    fs::write(&path, text).expect("the folder is writable");
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
