//! `turmericloft gateway --platform` as a process, with calls of clients.

use std::{fs, net::SocketAddr};

use bytes::BytesMut;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use turmericloft::sources::http1::{Response, ResponseLimits, ResponseReader};
use turmericloft_platform::standin::{GatewayHost, readiness_check};

use super::{Process, eventually};

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");
/// Largest body of a response that these clients read, in bytes.
const MAX_RESPONSE: usize = 64 << 20;

/// A gateway of the platform on a host address of its own.
pub struct PlatformGateway {
    pub host: GatewayHost<'static>,
    pub process: Process,
    folder: TempDir,
}

impl PlatformGateway {
    /// Starts the process with this settings file.
    pub fn start(host: GatewayHost<'static>, settings: &str) -> Self {
        let folder = TempDir::new().expect("a folder");
        fs::write(folder.path().join("node.yaml"), settings).expect("written");
        let process = start(&folder);
        Self {
            host,
            process,
            folder,
        }
    }

    /// Kills the process, if it still runs, and starts it again with the same settings.
    pub fn restart(&mut self) {
        // The ports are free only when the old process is gone.
        self.process.kill();
        self.process = start(&self.folder);
    }

    /// Waits until the readiness check succeeds.
    pub async fn wait_ready(&self) {
        eventually(async || {
            let response = exchange(self.host.ready(), readiness_check().as_bytes()).await?;
            (response.status == 200).then_some(())
        })
        .await;
    }

    /// Sends a message on a new connection and reads the response; `None` if none arrives.
    pub async fn call(&self, message: &[u8]) -> Option<Response> {
        exchange(self.host.clients(), message).await
    }
}

fn start(folder: &TempDir) -> Process {
    let file = folder.path().join("node.yaml");
    let env = [("TURMERICLOFT_SETTINGS", file.to_str().expect("UTF-8"))];
    Process::start_logging_to_stdout(TURMERICLOFT, &["gateway", "--platform"], &env)
}

/// Sends a message on a new connection and reads the response; `None` if none arrives.
pub async fn exchange(address: SocketAddr, message: &[u8]) -> Option<Response> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(message).await.ok()?;
    read_response(&mut stream).await
}

/// Reads one response; `None` if the connection ends before it is complete.
pub async fn read_response(stream: &mut TcpStream) -> Option<Response> {
    let limits = ResponseLimits {
        body_bytes: MAX_RESPONSE,
        budget: None,
    };
    let mut reader = ResponseReader::new(b"POST", limits);
    let mut buf = BytesMut::new();
    loop {
        if let Some(response) = reader.next(&mut buf).expect("well-formed") {
            return Some(response);
        }
        let n = stream.read_buf(&mut buf).await.ok()?;
        if n == 0 {
            return None;
        }
    }
}
