//! Watches what a process takes of its host.

use std::{
    fs,
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::task::yield_now;
use turmericloft_platform::standin::{memory_bytes, open_descriptors};

/// Memory at which the watch ends the process, so that this machine does not run out of it, in bytes.
const MAX_MEMORY: u64 = 640 << 20;

#[derive(Debug, Default)]
struct Most {
    memory: AtomicU64,
    descriptors: AtomicU64,
    /// Number of times that the process was looked at.
    looks: AtomicU64,
    is_over: AtomicBool,
}

/// The most that a process has taken so far.
#[derive(Debug)]
pub struct Watch {
    most: Arc<Most>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// Watches a process, whose connections have the address `ip`.
    pub fn start(pid: u32, ip: IpAddr) -> Self {
        let most = Arc::new(Most::default());
        let watched = Arc::clone(&most);
        let thread = thread::spawn(move || {
            while !watched.is_over.load(Ordering::Acquire) && is_watched(pid, ip, &watched) {
                thread::yield_now();
            }
        });
        Self {
            most,
            thread: Some(thread),
        }
    }

    /// Waits until the process was looked at after the call began, or has ended.
    pub async fn wait_for_look(&self) {
        let looks = || self.most.looks.load(Ordering::Acquire);
        // The look that is under way began before.
        let wanted = looks() + 2;
        while looks() < wanted && self.thread.as_ref().is_some_and(|t| !t.is_finished()) {
            yield_now().await;
        }
    }

    /// Most memory, with unread bytes, in bytes.
    pub fn most_memory(&self) -> u64 {
        self.most.memory.load(Ordering::Acquire)
    }

    /// Most open descriptors.
    pub fn most_descriptors(&self) -> u64 {
        self.most.descriptors.load(Ordering::Acquire)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.most.is_over.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Records what the process takes now. Returns false once it has ended.
fn is_watched(pid: u32, ip: IpAddr, most: &Most) -> bool {
    let (Some(memory), Some(descriptors)) = (memory_bytes(pid, ip), open_descriptors(pid)) else {
        return false;
    };
    most.memory.fetch_max(memory, Ordering::AcqRel);
    most.descriptors.fetch_max(descriptors, Ordering::AcqRel);
    most.looks.fetch_add(1, Ordering::AcqRel);
    if memory > MAX_MEMORY {
        // The process is a child of this one, which has not waited for its end yet.
        let _ = kill(Pid::from_raw(pid as i32), Signal::SIGKILL);
    }
    fs::exists(format!("/proc/{pid}")).unwrap_or(false)
}
