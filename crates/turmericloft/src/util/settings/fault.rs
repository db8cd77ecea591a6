//! Faults in settings, with the origin of the value at fault.

use std::{
    fmt,
    path::{Path, PathBuf},
};

/// Origin of a value. Faults are reported in the order of the variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// A line of the settings file, counted from 1.
    Line(PathBuf, usize),
    /// The settings file, without a line.
    File(PathBuf),
    /// The command line flag `--set`.
    Flag,
}

/// An invalid, unknown or missing key, or a syntax error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Origin of the value.
    pub origin: Origin,
    /// The key; `None` if the fault does not concern a single key.
    pub key: Option<String>,
    /// Description of the fault.
    pub message: String,
    /// Values allowed for the key; `None` for an unknown key or without a key.
    pub allowed: Option<&'static str>,
}

impl SettingsFault {
    /// Moves the fault to `line` of the file at `path`. `None` leaves it unchanged.
    pub(super) fn with_line(mut self, path: &Path, line: Option<usize>) -> Self {
        if let Some(line) = line {
            self.origin = Origin::Line(path.into(), line);
        }
        self
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line(path, line) => write!(f, "{}:{line}", path.display()),
            Self::File(path) => write!(f, "{}", path.display()),
            Self::Flag => f.write_str("--set"),
        }
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.origin)?;
        if let Some(key) = &self.key {
            write!(f, "`{key}`: ")?;
        }
        f.write_str(&self.message)?;
        match self.allowed {
            Some(allowed) => write!(f, "; allowed: {allowed}"),
            None => Ok(()),
        }
    }
}
