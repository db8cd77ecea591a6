//! A document as one gateway sends it to another.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::core::traffic::{ChangesError, DocumentChanges, TrafficDocument};

/// Maximum size of a document or of changes after decompression, in bytes.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// Why a relayed document cannot be used.
#[derive(Debug, Error)]
pub enum RelayedDocumentError {
    /// It cannot be decompressed, or is too large.
    #[error("cannot decompress the relayed document")]
    Compression(#[source] io::Error),
    /// It cannot be serialised or deserialised.
    #[error("cannot decode the relayed document")]
    Malformed(#[source] postcard::Error),
    /// There is no document to which the changes apply.
    #[error("changes were relayed to a gateway without a document")]
    NoBase,
    /// The changes do not apply to the active document.
    #[error("cannot apply relayed changes")]
    Changes(#[source] ChangesError),
}

/// What a follower gets that has an earlier version, or none. Clones share the bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedDocument {
    /// Version that the follower has then.
    pub version: u64,
    content: Content,
}

/// Compressed content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Content {
    Whole(Bytes),
    Changes(Bytes),
}

impl RelayedDocument {
    /// The whole document.
    pub fn whole(document: &TrafficDocument) -> Result<Self, RelayedDocumentError> {
        Ok(Self {
            version: document.version,
            content: Content::Whole(pack(document)?),
        })
    }

    /// Changes to `version`, each of which follows the one before.
    pub fn changes(version: u64, steps: &[DocumentChanges]) -> Result<Self, RelayedDocumentError> {
        let content = Content::Changes(pack(steps)?);
        Ok(Self { version, content })
    }

    /// Number of bytes that are sent.
    pub fn bytes(&self) -> usize {
        let (Content::Whole(bytes) | Content::Changes(bytes)) = &self.content;
        bytes.len()
    }

    /// The document that a gateway with the document `active` has then.
    pub fn unpack(
        &self,
        active: Option<&TrafficDocument>,
    ) -> Result<TrafficDocument, RelayedDocumentError> {
        match &self.content {
            Content::Whole(bytes) => unpack(bytes),
            Content::Changes(bytes) => {
                let steps: Vec<DocumentChanges> = unpack(bytes)?;
                let active = active.ok_or(RelayedDocumentError::NoBase)?;
                let applied = DocumentChanges::apply_all(&steps, active);
                applied.map_err(RelayedDocumentError::Changes)
            }
        }
    }
}

fn pack<T: Serialize + ?Sized>(value: &T) -> Result<Bytes, RelayedDocumentError> {
    let bytes = postcard::to_stdvec(value).map_err(RelayedDocumentError::Malformed)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(&bytes).and_then(|()| encoder.finish());
    packed
        .map(Bytes::from)
        .map_err(RelayedDocumentError::Compression)
}

fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, RelayedDocumentError> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed)
        .take(MAX_UNPACKED_BYTES)
        .read_to_end(&mut bytes)
        .map_err(RelayedDocumentError::Compression)?;
    postcard::from_bytes(&bytes).map_err(RelayedDocumentError::Malformed)
}
