//! Header fields as received, sliced from the message head without copying.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Hop-by-hop headers, which are not forwarded.
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

/// Headers whose values are secret.
const SECRET: [&str; 2] = ["authorization", "proxy-authorization"];

/// A header field.
#[derive(Clone, PartialEq, Eq)]
pub struct Header {
    /// Name, in the sender's letter case.
    pub name: Bytes,
    /// Value, without surrounding whitespace.
    pub value: Bytes,
}

impl Header {
    /// Whether the header has this name, ignoring ASCII case.
    pub fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

impl fmt::Debug for Header {
    /// Shows no secret value, so that it does not get into a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = f.debug_struct("Header");
        shown.field("name", &self.name);
        if SECRET.iter().any(|name| self.has_name(name)) {
            return shown.finish_non_exhaustive();
        }
        shown.field("value", &self.value).finish()
    }
}

/// Header fields of a message, in the order received. Lookups by name ignore ASCII case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Slices the fields out of `head`, which `parsed` has to point into.
    pub(super) fn from_parsed(head: &Bytes, parsed: &[httparse::Header<'_>]) -> Self {
        let lines = parsed.iter().map(|h| Header {
            name: head.slice_ref(h.name.as_bytes()),
            value: head.slice_ref(h.value),
        });
        Self(lines.collect())
    }

    /// Values of all headers with this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let lines = self.0.iter().filter(move |h| h.has_name(name));
        lines.map(|h| h.value.as_ref())
    }

    /// Value of the first header with this name; `None` if it is missing or not UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        let header = self.0.iter().find(|h| h.has_name(name))?;
        std::str::from_utf8(&header.value).ok()
    }

    /// Whether a header with this name is present.
    pub fn contains(&self, name: &str) -> bool {
        self.get_all(name).next().is_some()
    }

    /// Whether a comma-separated header with this name contains `token`, ignoring ASCII case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let tokens = self.get_all(name).flat_map(|v| v.split(|b| *b == b','));
        let mut tokens = tokens.map(<[u8]>::trim_ascii);
        tokens.any(|t| t.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Appends a header field.
    pub fn push(&mut self, name: &'static str, value: impl Into<Bytes>) {
        self.0.push(Header {
            name: Bytes::from_static(name.as_bytes()),
            value: value.into(),
        });
    }

    /// Iterates over the fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Writes the end-to-end headers except those named in `skip`. `Content-Length`, hop-by-hop
    /// headers and headers named in `Connection` are left out; `keep` exempts names from the last
    /// rule.
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

/// Writes one header field with its line end.
pub(super) fn write_header(buf: &mut BytesMut, name: &[u8], value: &[u8]) {
    buf.extend_from_slice(name);
    buf.extend_from_slice(b": ");
    buf.extend_from_slice(value);
    buf.extend_from_slice(b"\r\n");
}
