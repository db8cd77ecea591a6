//! Log lines: only changes of state; counters say the rest.

use log::{LevelFilter, SetLoggerError};
use serde::Deserialize;
use strum::{Display, EnumString, VariantNames};

use super::clock::unix_ms;

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
    lines(format).chain(std::io::stderr()).apply()
}

/// Sends log lines of this process to standard output.
pub fn start_on_stdout(format: LogFormat) -> Result<(), SetLoggerError> {
    lines(format).chain(std::io::stdout()).apply()
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
