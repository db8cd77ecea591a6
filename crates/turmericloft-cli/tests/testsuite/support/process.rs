//! A program of this workspace as a child process.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, ChildStderr, Command, ExitStatus, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
    stderr: BufReader<ChildStderr>,
}

impl Process {
    /// Starts a program.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("stderr is piped"));
        Self { child, stderr }
    }

    /// Reads log lines up to one that contains `text`.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        let mut seen = String::new();
        loop {
            let mut line = String::new();
            let n = self.stderr.read_line(&mut line).expect("stderr is text");
            assert!(n > 0, "the program ended before it wrote `{text}`:\n{seen}");
            if line.contains(text) {
                return line;
            }
            seen.push_str(&line);
        }
    }

    /// Addresses in the line in which the program says where it listens, in order.
    pub fn addresses(&mut self) -> Vec<SocketAddr> {
        let line = self.wait_for_line("listens on");
        line.split_whitespace()
            .filter_map(|word| word.parse().ok())
            .collect()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process is there");
    }

    /// Waits for the end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process is ours")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
