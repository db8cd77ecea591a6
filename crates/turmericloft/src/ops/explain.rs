//! Collects the log lines of all processes that concern one request.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A log line that concerns a request, or a state change before one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainedLine {
    /// Unix time in milliseconds, by the clock of the process that wrote it.
    pub at_ms: u64,
    /// Log file that contains the line, as given by the caller of [`explain`].
    pub file: PathBuf,
    /// Text of the line, without time and level.
    pub message: String,
}

/// All log lines that concern a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// Lines with the request's id, ordered by time. Before the first line of a file, and before a
    /// later one if the state has changed since, stand the last state changes that the file
    /// contains.
    pub lines: Vec<ExplainedLine>,
    /// Number of lines that were skipped because they are not JSON log lines.
    pub unreadable: usize,
}

/// Error of [`explain`].
#[derive(Debug, Error)]
pub enum ExplainError {
    /// A log file cannot be read.
    #[error("cannot read the log {}", path.display())]
    Read {
        /// Path of the log file.
        path: PathBuf,
        /// Error from the file system.
        #[source]
        source: io::Error,
    },
    /// No line contains the request's id.
    #[error(
        "no log line contains request {request}; its lines may have been suppressed (see left_out=)"
    )]
    NotFound {
        /// Id of the request.
        request: String,
    },
}

/// Beginnings of log lines that record a state change. The last line of each kind gives the state
/// in which a request was handled.
const STATE_LINES: [&str; 5] = [
    "document in force",
    "endpoints changed",
    "endpoint limit",
    "store ",
    "gateway ",
];

#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    message: String,
}

/// Reads log files and collects the lines that concern the request with this id.
///
/// Fails if a file cannot be read or no line contains the id.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<Explanation, ExplainError> {
    let mut explanation = Explanation {
        request: request.to_owned(),
        lines: Vec::new(),
        unreadable: 0,
    };
    for path in files {
        add_file(&mut explanation, path)?;
    }
    if explanation.lines.is_empty() {
        return Err(ExplainError::NotFound {
            request: request.to_owned(),
        });
    }
    explanation.lines.sort_by_key(|line| line.at_ms);
    Ok(explanation)
}

fn add_file(explanation: &mut Explanation, path: &Path) -> Result<(), ExplainError> {
    let text = fs::read_to_string(path).map_err(|source| ExplainError::Read {
        path: path.to_owned(),
        source,
    })?;
    let marker = format!("request={} ", explanation.request);
    let mut last_state: [Option<ExplainedLine>; STATE_LINES.len()] = Default::default();
    for line in text.lines() {
        // Log collectors prefix each line with a time and a host.
        let json = line.find('{').map_or(line, |start| &line[start..]);
        let Ok(Line { at_ms, message }) = serde_json::from_str(json) else {
            explanation.unreadable += 1;
            continue;
        };
        let line = ExplainedLine {
            at_ms,
            file: path.to_owned(),
            message,
        };
        let kind = STATE_LINES.iter().position(|s| line.message.starts_with(s));
        if let Some(kind) = kind {
            last_state[kind] = Some(line);
        } else if format!("{} ", line.message).contains(&marker) {
            explanation
                .lines
                .extend(last_state.iter_mut().filter_map(Option::take));
            explanation.lines.push(line);
        }
    }
    Ok(())
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        let marker = format!("request={} ", self.request);
        let first = self
            .lines
            .iter()
            .find(|l| format!("{} ", l.message).contains(&marker));
        let start = first.map_or(0, |l| l.at_ms);
        for line in &self.lines {
            let relative_ms = line.at_ms as i64 - start as i64;
            let file = line.file.display();
            writeln!(f, "{relative_ms:>+8} ms  {file}  {}", line.message)?;
        }
        if self.unreadable > 0 {
            writeln!(f, "{} lines are not JSON and were skipped", self.unreadable)?;
        }
        Ok(())
    }
}
