//! Child processes that run the programs of this workspace.

use std::{
    fs,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc::{Receiver, RecvTimeoutError, channel},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use super::eventually;

/// Time without the expected log line or exit after which a test fails; well above the duration of
/// any test.
const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
    /// Lines of standard error, or of standard output; disconnected once the program closes it.
    lines: Receiver<String>,
}

impl Process {
    /// Starts a program; standard output is discarded.
    pub fn start(program: &str, args: &[&str]) -> Self {
        Self::start_with_env(program, args, &[])
    }

    /// Like [`start`](Self::start), with further environment variables.
    pub fn start_with_env(program: &str, args: &[&str], env: &[(&str, &str)]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .envs(env.iter().copied())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = read_lines(child.stderr.take().expect("stderr is piped"));
        Self { child, lines }
    }

    /// Like [`start_with_env`](Self::start_with_env), for a program that logs to standard output; standard error is
    /// discarded.
    pub fn start_logging_to_stdout(program: &str, args: &[&str], env: &[(&str, &str)]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .envs(env.iter().copied())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let lines = read_lines(child.stdout.take().expect("stdout is piped"));
        Self { child, lines }
    }

    /// Reads log lines up to the first one that contains `text`, and returns that line.
    ///
    /// # Panics
    ///
    /// Panics if the program exits first or the line does not appear within [`HANG_TIMEOUT`].
    pub fn wait_for_line(&mut self, text: &str) -> String {
        let mut seen = String::new();
        let deadline = Instant::now() + HANG_TIMEOUT;
        loop {
            match self.next_line(deadline) {
                Ok(line) if line.contains(text) => return line,
                Ok(line) => seen.push_str(&line),
                Err(e) => panic!("no log line contains `{text}`: {e}; log lines read:\n{seen}"),
            }
        }
    }

    /// Waits for the log line that lists the addresses on which the program listens, and returns
    /// them in the order of the line.
    pub fn addresses(&mut self) -> Vec<SocketAddr> {
        let line = self.wait_for_line("listens on");
        line.split_whitespace()
            .filter_map(|word| word.parse().ok())
            .collect()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process exists");
    }

    /// Suspends the process. The kernel stops its threads one after the other, some of them only
    /// after the signal was sent; this waits for all of them.
    pub async fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
        eventually(|| async { self.is_suspended().then_some(()) }).await;
    }

    fn is_suspended(&self) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let mut threads = threads.expect("the process exists");
        threads.all(|thread| {
            let stat = thread.and_then(|t| fs::read_to_string(t.path().join("stat")));
            // The state is the first field after the name in parentheses.
            stat.is_ok_and(|stat| stat.rsplit(") ").next().is_some_and(|f| f.starts_with('T')))
        })
    }

    /// Waits until the program exits.
    ///
    /// # Panics
    ///
    /// Panics if it has not exited within [`HANG_TIMEOUT`].
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + HANG_TIMEOUT;
        let error = loop {
            match self.next_line(deadline) {
                Ok(_) => {}
                Err(e) => break e,
            }
        };
        assert_eq!(
            error,
            RecvTimeoutError::Disconnected,
            "the program does not exit"
        );
        self.child.wait().expect("the process is a child")
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn next_line(&self, deadline: Instant) -> Result<String, RecvTimeoutError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        self.lines.recv_timeout(remaining)
    }
}

/// Reads lines continuously, so that the program never blocks on a full pipe.
fn read_lines(output: impl Read + Send + 'static) -> Receiver<String> {
    let (tx, lines) = channel();
    thread::spawn(move || {
        for line in BufReader::new(output).lines() {
            let line = line.expect("the output is UTF-8");
            let _ = tx.send(line + "\n");
        }
    });
    lines
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
