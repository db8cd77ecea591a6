//! Joins what the logs of all processes say of one request.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A line of a log that belongs to the story of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExplainedLine {
    /// Unix time in milliseconds, by the clock of the process that wrote it.
    pub at_ms: u64,
    /// File that it stands in.
    pub file: PathBuf,
    /// What it says.
    pub message: String,
}

/// The story of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// Lines that name it, by time, each with the last changes of state that its process had
    /// written before the first of them.
    pub lines: Vec<ExplainedLine>,
    /// Lines that are no JSON and were passed over.
    pub unreadable: usize,
}

/// Why logs cannot be explained.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// A file cannot be read.
    #[error("cannot read the log {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// No line names the request.
    #[error("no line names the request {request}; it may have been left out (see left_out=)")]
    NotFound {
        /// Id of the request.
        request: String,
    },
}

/// Changes of state that a process wrote before a line about the request.
const STATE_LINES: [&str; 4] = [
    "document in force",
    "endpoints changed",
    "store ",
    "gateway ",
];

#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    message: String,
}

/// Reads logs and joins the lines that name a request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<Explanation, ExplainError> {
    let mut story = Explanation {
        request: request.to_owned(),
        lines: Vec::new(),
        unreadable: 0,
    };
    for path in files {
        add_file(&mut story, path)?;
    }
    if story.lines.is_empty() {
        return Err(ExplainError::NotFound {
            request: request.to_owned(),
        });
    }
    story.lines.sort_by_key(|line| line.at_ms);
    Ok(story)
}

fn add_file(story: &mut Explanation, path: &Path) -> Result<(), ExplainError> {
    let text = fs::read_to_string(path).map_err(|source| ExplainError::Read {
        path: path.to_owned(),
        source,
    })?;
    let name = format!("request={} ", story.request);
    let mut state: [Option<ExplainedLine>; STATE_LINES.len()] = Default::default();
    for line in text.lines() {
        // Collectors put a time and a host before each line.
        let json = line.find('{').map_or(line, |start| &line[start..]);
        let Ok(Line { at_ms, message }) = serde_json::from_str(json) else {
            story.unreadable += 1;
            continue;
        };
        let line = ExplainedLine {
            at_ms,
            file: path.to_owned(),
            message,
        };
        let kind = STATE_LINES.iter().position(|s| line.message.starts_with(s));
        if let Some(kind) = kind {
            state[kind] = Some(line);
        } else if format!("{} ", line.message).contains(&name) {
            story
                .lines
                .extend(state.iter_mut().filter_map(Option::take));
            story.lines.push(line);
        }
    }
    Ok(())
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        let name = format!("request={} ", self.request);
        let first = self
            .lines
            .iter()
            .find(|l| format!("{} ", l.message).contains(&name));
        let start = first.map_or(0, |l| l.at_ms);
        for line in &self.lines {
            let since = line.at_ms as i64 - start as i64;
            let file = line.file.display();
            writeln!(f, "{since:>+8} ms  {file}  {}", line.message)?;
        }
        if self.unreadable > 0 {
            writeln!(
                f,
                "{} lines are no JSON and were passed over",
                self.unreadable
            )?;
        }
        Ok(())
    }
}
