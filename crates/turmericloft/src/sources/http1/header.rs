//! Header lines as they came, without copies.

use bytes::{Bytes, BytesMut};

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name, in the letter case of the sender.
    pub name: Bytes,
    /// Value, without spaces around it.
    pub value: Bytes,
}

impl Header {
    /// Whether the header has this name, in any letter case.
    pub fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// All header lines of a message, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Slices the lines that `parsed` points to out of `head`.
    pub(super) fn from_parsed(head: &Bytes, parsed: &[httparse::Header<'_>]) -> Self {
        let lines = parsed.iter().map(|h| Header {
            name: head.slice_ref(h.name.as_bytes()),
            value: head.slice_ref(h.value),
        });
        Self(lines.collect())
    }

    /// Values of all lines with this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let lines = self.0.iter().filter(move |h| h.has_name(name));
        lines.map(|h| h.value.as_ref())
    }

    /// Value of the first line with this name, if it is text.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        let header = self.0.iter().find(|h| h.has_name(name))?;
        std::str::from_utf8(&header.value).ok()
    }

    /// Whether there is a line with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.get_all(name).next().is_some()
    }

    /// Whether a line with this name lists this token.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let tokens = self.get_all(name).flat_map(|v| v.split(|b| *b == b','));
        let mut tokens = tokens.map(<[u8]>::trim_ascii);
        tokens.any(|t| t.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Adds a line.
    pub fn push(&mut self, name: &'static str, value: impl Into<Bytes>) {
        self.0.push(Header {
            name: Bytes::from_static(name.as_bytes()),
            value: value.into(),
        });
    }

    /// The lines.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Writes the lines that go beyond one connection, but for those that `skip` names. Lines that
    /// `Connection` names are left out too, unless `keep` names them.
    pub fn write_end_to_end(&self, buf: &mut BytesMut, skip: &[&str], keep: &[&str]) {
        for header in &self.0 {
            let named = std::str::from_utf8(&header.name).unwrap_or_default();
            let kept = keep.iter().any(|k| header.has_name(k));
            let hop = HOP_BY_HOP.iter().any(|h| header.has_name(h))
                || (!kept && self.contains_token("connection", named));
            if hop || header.has_name("content-length") || skip.iter().any(|s| header.has_name(s)) {
                continue;
            }
            write_header(buf, &header.name, &header.value);
        }
    }
}

/// Writes one line.
pub(super) fn write_header(buf: &mut BytesMut, name: &[u8], value: &[u8]) {
    buf.extend_from_slice(name);
    buf.extend_from_slice(b": ");
    buf.extend_from_slice(value);
    buf.extend_from_slice(b"\r\n");
}
