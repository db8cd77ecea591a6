//! Reading a body whole, up to a bound.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// Why a body was not read whole.
#[derive(Debug)]
pub(super) enum CollectError<E> {
    /// It is larger than the bound.
    TooLarge,
    /// It broke off.
    Broken(E),
}

/// Reads a body of at most `limit` bytes.
pub(super) async fn collect<B>(mut body: B, limit: usize) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Broken)?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(CollectError::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
