//! How results are printed.

use std::error::Error;

use clap::ValueEnum;
use serde::Serialize;

/// How a result is printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Plain lines and tables
    #[default]
    Human,
    /// One JSON object
    Json,
}

impl Format {
    /// Prints a result: as JSON, or the text that `human` makes of it.
    pub fn print<T: Serialize>(
        self,
        result: &T,
        human: impl FnOnce(&T) -> String,
    ) -> Result<(), Box<dyn Error>> {
        match self {
            Self::Human => print!("{}", human(result)),
            Self::Json => println!("{}", serde_json::to_string(result)?),
        }
        Ok(())
    }
}
