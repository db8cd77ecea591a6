//! Output formats of subcommands.

use std::error::Error;

use clap::ValueEnum;
use serde::Serialize;

use super::write_output;

/// Output format of a subcommand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Plain lines and tables
    #[default]
    Human,
    /// One JSON object
    Json,
}

impl Format {
    /// Prints a result as JSON, or as the text that `render` makes of it.
    pub fn print<T: Serialize>(
        self,
        result: &T,
        render: impl FnOnce(&T) -> String,
    ) -> Result<(), Box<dyn Error>> {
        let text = match self {
            Self::Human => render(result),
            Self::Json => serde_json::to_string(result)? + "\n",
        };
        Ok(write_output(text.as_bytes())?)
    }
}
