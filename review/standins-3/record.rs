//! The record of a scenario: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Self { file, start: Instant::now() }
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
