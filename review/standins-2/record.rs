//! The record of a scenario.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self { file: Mutex::new(File::create(path).unwrap()), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Writes the line to the standard output too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
