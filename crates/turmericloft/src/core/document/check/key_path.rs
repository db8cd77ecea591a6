//! Paths of values in a document.

use std::fmt;

/// Step from a table or an array to a value in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Segment {
    /// Key of a table.
    Key(String),
    /// Index in an array, starting at 0.
    Index(usize),
}

/// Path from the root of the document to a value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct KeyPath(Vec<Segment>);

impl KeyPath {
    pub(super) fn root() -> Self {
        Self::default()
    }

    /// The path of `key` in the table at this path.
    pub(super) fn key(&self, key: &str) -> Self {
        self.join(Segment::Key(key.to_owned()))
    }

    /// The path of the item at `index` of the array `key` in the table at this path.
    pub(super) fn item(&self, key: &str, index: usize) -> Self {
        self.key(key).index(index)
    }

    /// The path of the item at `index` in the array at this path.
    pub(super) fn index(&self, index: usize) -> Self {
        self.join(Segment::Index(index))
    }

    pub(super) fn segments(&self) -> &[Segment] {
        &self.0
    }

    /// Whether this path equals `other` or lies below it.
    pub(super) fn is_within(&self, other: &Self) -> bool {
        self.0.starts_with(&other.0)
    }

    fn join(&self, segment: Segment) -> Self {
        let mut segments = self.0.clone();
        segments.push(segment);
        Self(segments)
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, segment) in self.0.iter().enumerate() {
            match segment {
                Segment::Key(key) if i == 0 => f.write_str(key)?,
                Segment::Key(key) => write!(f, ".{key}")?,
                Segment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}
