//! Watches what a process takes of its host.

use std::{
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
use turmericloft_platform::standin::{open_descriptors, resident_bytes, unread_bytes};

/// Memory at which the watch ends the process, so that this machine does not run out of it, in bytes.
const MAX_MEMORY: u64 = 640 << 20;

#[derive(Debug, Default)]
struct Most {
    /// Bytes that were received and not read, when they were last counted.
    unread: AtomicU64,
    memory: AtomicU64,
    descriptors: AtomicU64,
    /// Number of times that sockets and descriptors were counted.
    looks: AtomicU64,
    is_over: AtomicBool,
}

/// The most that a process has taken so far.
#[derive(Debug)]
pub struct Watch {
    most: Arc<Most>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Watches a process. Its sockets take longer to count than its memory, and are counted apart.
    pub fn start(pid: u32) -> Self {
        let most = Arc::new(Most::default());
        let looks: [fn(u32, &Most) -> bool; 2] = [look_at_memory, look_at_sockets];
        let threads = looks.map(|look| {
            let watched = Arc::clone(&most);
            thread::spawn(move || {
                while !watched.is_over.load(Ordering::Acquire) && look(pid, &watched) {
                    thread::yield_now();
                }
            })
        });
        Self {
            most,
            threads: threads.into(),
        }
    }

    /// Waits until the process was looked at after the call began, or has ended.
    pub async fn wait_for_look(&self) {
        let looks = || self.most.looks.load(Ordering::Acquire);
        // The look that is under way began before.
        let wanted = looks() + 2;
        while looks() < wanted && self.threads.iter().all(|t| !t.is_finished()) {
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
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Records the memory that the process takes now. Returns false once it has ended.
fn look_at_memory(pid: u32, most: &Most) -> bool {
    let Some(resident) = resident_bytes(pid) else {
        return false;
    };
    let memory = resident + most.unread.load(Ordering::Acquire);
    most.memory.fetch_max(memory, Ordering::AcqRel);
    if memory > MAX_MEMORY {
        // The process is a child of this one, which has not waited for its end yet.
        let _ = kill(Pid::from_raw(pid as i32), Signal::SIGKILL);
    }
    true
}

/// Records the sockets and descriptors of the process, and its memory with them. Returns false once it has ended.
fn look_at_sockets(pid: u32, most: &Most) -> bool {
    let (Some(unread), Some(descriptors)) = (unread_bytes(pid), open_descriptors(pid)) else {
        return false;
    };
    most.unread.store(unread, Ordering::Release);
    most.descriptors.fetch_max(descriptors, Ordering::AcqRel);
    let goes_on = look_at_memory(pid, most);
    most.looks.fetch_add(1, Ordering::AcqRel);
    goes_on
}
