//! A proxy between one gateway and one endpoint, which can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Default)]
pub struct Proxy {
    is_cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    /// Passes connections to `address` on to `endpoint`.
    pub fn start(address: SocketAddr, endpoint: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the address of a proxy is free");
        let proxy = Arc::new(Self::default());
        let accepting = Arc::clone(&proxy);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(endpoint) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let mut streams = accepting.streams.lock().unwrap();
                if accepting.is_cut.load(SeqCst) {
                    // Nothing passes, and nobody closes the connection.
                    streams.extend([client, server]);
                    continue;
                }
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let proxy = Arc::clone(&accepting);
                    thread::spawn(move || proxy.pass(from, to));
                }
                streams.extend([client, server]);
            }
        });
        proxy
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 8 << 10];
        while let Ok(n) = from.read(&mut buf) {
            if self.is_cut.load(SeqCst) {
                return;
            }
            if n == 0 || to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Cuts the path: open connections are reset, and new ones hang.
    pub fn cut(&self) {
        self.is_cut.store(true, SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
