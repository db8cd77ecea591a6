//! Logger setup. Log lines report changes of state only; recurring events are counted in metrics.

use std::{borrow::Cow, io};

use log::{LevelFilter, SetLoggerError};
use serde::Deserialize;
use strum::{Display, EnumString, VariantNames};
use thiserror::Error;

use super::{clock::unix_ms, log_writer::LogWriter};

/// Output format of log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text, one line per record.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Installs a logger that writes to standard error. Writes block the calling thread.
pub fn init_stderr(format: LogFormat) -> Result<(), SetLoggerError> {
    dispatch(format).chain(io::stderr()).apply()
}

/// Error from installing the logger.
#[derive(Debug, Error)]
pub enum LogInitError {
    /// The writer thread cannot be started.
    #[error("cannot start the log writer thread")]
    Thread(#[from] io::Error),
    /// Another logger is already installed.
    #[error(transparent)]
    AlreadyInstalled(#[from] SetLoggerError),
}

/// Installs a logger that writes to standard output from a separate thread, so that a slow reader
/// does not block the process. The caller has to flush the returned writer before the process
/// exits.
pub fn init_stdout(format: LogFormat) -> Result<LogWriter, LogInitError> {
    let writer = LogWriter::start(io::stdout())?;
    let record_writer = writer.clone();
    let output = fern::Output::call(move |record| record_writer.write(record.args().to_string()));
    dispatch(format).chain(output).apply()?;
    Ok(writer)
}

fn dispatch(format: LogFormat) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(LevelFilter::Info)
        .level_for("quinn", LevelFilter::Warn)
        .format(move |out, message, record| {
            let (level, target) = (record.level(), record.target());
            match format {
                LogFormat::Text => {
                    let message = message.to_string();
                    let message = escape_controls(&message);
                    out.finish(format_args!("{level} {target}: {message}"));
                }
                LogFormat::Json => {
                    let line = serde_json::json!({
                        "at_ms": unix_ms(),
                        "level": level.as_str(),
                        "target": target,
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
}

/// Escapes control characters, so that a name of another party cannot end a line and begin another one.
pub fn escape_controls(text: &str) -> Cow<'_, str> {
    if !text.contains(char::is_control) {
        return Cow::Borrowed(text);
    }
    let escape = |c: char| match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    };
    Cow::Owned(text.chars().map(escape).collect())
}
