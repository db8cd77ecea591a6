//! What is wrong with settings.

use std::{
    fmt,
    path::{Path, PathBuf},
};

/// Where a value comes from; in the order in which faults are shown.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A line of the file, counted from 1.
    Line(PathBuf, usize),
    /// The file as a whole.
    File(PathBuf),
    /// The flag `--set`.
    Flag,
}

/// One fault: where, which key, what, and what would be allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Where.
    pub place: Place,
    /// The key, if the text can be read at all.
    pub key: Option<String>,
    /// What is wrong.
    pub what: String,
    /// Values allowed for the key.
    pub allowed: Option<&'static str>,
}

impl SettingsFault {
    /// The same fault at `line` of the file at `path`, if that is known.
    pub(super) fn within(mut self, path: &Path, line: Option<usize>) -> Self {
        if let Some(line) = line {
            self.place = Place::Line(path.into(), line);
        }
        self
    }
}

impl fmt::Display for Place {
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
        write!(f, "{}: ", self.place)?;
        if let Some(key) = &self.key {
            write!(f, "`{key}`: ")?;
        }
        f.write_str(&self.what)?;
        match self.allowed {
            Some(allowed) => write!(f, "; allowed: {allowed}"),
            None => Ok(()),
        }
    }
}
