//! Log lines: only changes of state; counters say the rest.

use std::io;

use log::{LevelFilter, SetLoggerError};
use serde::Deserialize;
use strum::{Display, EnumString, VariantNames};
use thiserror::Error;

use super::{clock::unix_ms, log_writer::LogWriter};

/// How log lines are written.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Sends log lines of this process to standard error.
pub fn start(format: LogFormat) -> Result<(), SetLoggerError> {
    lines(format).chain(io::stderr()).apply()
}

/// Why log lines cannot be written.
#[derive(Debug, Error)]
pub enum LogError {
    /// The thread that writes cannot be started.
    #[error("cannot start the thread that writes the log")]
    Thread(#[from] io::Error),
    /// Another logger is installed.
    #[error(transparent)]
    Installed(#[from] SetLoggerError),
}

/// Sends log lines of this process to standard output, without waiting for whoever reads it. The
/// writer has to be finished before the process ends.
pub fn start_on_stdout(format: LogFormat) -> Result<LogWriter, LogError> {
    let writer = LogWriter::start(io::stdout())?;
    let lines_writer = writer.clone();
    let output = fern::Output::call(move |record| lines_writer.write(record.args().to_string()));
    lines(format).chain(output).apply()?;
    Ok(writer)
}

fn lines(format: LogFormat) -> fern::Dispatch {
    fern::Dispatch::new()
        .level(LevelFilter::Info)
        .level_for("quinn", LevelFilter::Warn)
        .format(move |out, message, record| {
            let (level, target) = (record.level(), record.target());
            match format {
                LogFormat::Text => out.finish(format_args!("{level} {target}: {message}")),
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
