//! Collects a body up to a size limit.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// Why a body could not be collected.
#[derive(Debug)]
pub(super) enum CollectError<E> {
    /// The body is larger than the limit.
    TooLarge,
    /// Reading the body failed.
    Read(E),
}

/// Reads a complete body of at most `limit` bytes. Trailers are dropped.
pub(super) async fn collect<B>(mut body: B, limit: usize) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Read)?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(CollectError::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
