//! Compressed storage of document text.

use std::io::{Read, Write};

use base64::{Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Deserializer, Serializer, de, ser};
use serde_with::{DeserializeAs, SerializeAs};

use crate::core::document::Document;

/// Serialises a string as the base64 encoding of its raw deflate stream.
///
/// Deserialising fails if the decompressed text exceeds [`Document::MAX_BYTES`].
pub(super) struct Deflated;

impl SerializeAs<String> for Deflated {
    fn serialize_as<S: Serializer>(text: &String, serializer: S) -> Result<S::Ok, S::Error> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder
            .write_all(text.as_bytes())
            .map_err(ser::Error::custom)?;
        let bytes = encoder.finish().map_err(ser::Error::custom)?;
        serializer.serialize_str(&STANDARD.encode(bytes))
    }
}

impl<'de> DeserializeAs<'de, String> for Deflated {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
        let stored = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(stored).map_err(de::Error::custom)?;
        let limit = Document::MAX_BYTES as u64 + 1;
        let mut text = String::new();
        DeflateDecoder::new(bytes.as_slice())
            .take(limit)
            .read_to_string(&mut text)
            .map_err(de::Error::custom)?;
        if text.len() as u64 == limit {
            return Err(de::Error::custom("the decompressed document is too large"));
        }
        Ok(text)
    }
}
