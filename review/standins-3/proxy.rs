//! A proxy between one gateway and one endpoint, which can be cut.

use std::ffi::{c_int, c_void};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Pause between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

#[derive(Default)]
pub struct Proxy {
    is_cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    /// Passes connections to `address` on to `endpoint`.
    pub fn start(address: SocketAddr, endpoint: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the address of a proxy is free");
        listener.set_nonblocking(true).unwrap();
        let proxy = Arc::new(Self::default());
        let accepting = Arc::clone(&proxy);
        thread::spawn(move || {
            // The listener is closed when the path is cut.
            while !accepting.is_cut.load(SeqCst) {
                match listener.accept() {
                    Ok((client, _)) => accepting.connect(client, endpoint),
                    Err(_) => thread::sleep(ACCEPT_PAUSE),
                }
            }
        });
        proxy
    }

    fn connect(self: &Arc<Self>, client: TcpStream, endpoint: SocketAddr) {
        let Ok(server) = TcpStream::connect(endpoint) else { return };
        let _ = (client.set_nonblocking(false), client.set_nodelay(true), server.set_nodelay(true));
        let mut streams = self.streams.lock().unwrap();
        if self.is_cut.load(SeqCst) {
            return reset(&client);
        }
        for (from, to) in [(&client, &server), (&server, &client)] {
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let proxy = Arc::clone(self);
            thread::spawn(move || proxy.pass(from, to));
        }
        streams.extend([client, server]);
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
        if !self.is_cut.load(SeqCst) {
            let _ = to.shutdown(Shutdown::Both);
        }
    }

    /// Cuts the path: open connections are reset, and new ones are refused.
    pub fn cut(&self) {
        self.is_cut.store(true, SeqCst);
        self.streams.lock().unwrap().drain(..).for_each(|stream| reset(&stream));
    }
}

/// Has a connection reset when its last descriptor is closed, and wakes the thread that reads it.
fn reset(stream: &TcpStream) {
    // `struct linger` with a time of 0, `SOL_SOCKET` and `SO_LINGER` of Linux.
    let linger: [c_int; 2] = [1, 0];
    let size = size_of_val(&linger) as u32;
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), size) };
    let _ = stream.shutdown(Shutdown::Read);
}

unsafe extern "C" {
    fn setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_void, size: u32) -> c_int;
}
