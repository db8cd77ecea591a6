//! Large bodies.

use bytes::Bytes;

use crate::{
    crowd::{Crowd, Script},
    installation::Installation,
};

/// Clients of a crowd. Their bodies together are more than twice the memory of the host.
pub const CLIENTS: usize = 60;
/// Largest legal body, in bytes.
pub const BODY: usize = 4 << 20;
/// Bytes that are sent at a time where a body is sent in pieces.
const PIECE: usize = 16 << 10;
/// Of this many clients one sends its body to the end; the others stop short of it.
const WHOLE_ONE_IN: usize = 10;
/// Bytes in each of many small chunks.
const SMALL_CHUNK: usize = 8;
/// Largest legal body of the configurations in force, in bytes.
const LARGEST_BODY: usize = 67_108_864;

const END_OF_CHUNKS: &[u8] = b"0\r\n\r\n";

/// A chunk of this size.
fn chunk(bytes: usize) -> Bytes {
    let data = vec![b'c'; bytes];
    [format!("{bytes:x}\r\n").as_bytes(), &data, b"\r\n"]
        .concat()
        .into()
}

/// A body of this length in pieces. What is left of it is the tail, or is not sent.
pub fn with_length(bytes: usize, piece: usize, is_whole: bool) -> Script {
    let framing = format!("Content-Length: {bytes}");
    // Without the last byte, the last piece is missing too.
    let parts = bytes / piece - 1;
    let last = vec![b'l'; bytes - parts * piece - usize::from(!is_whole)];
    let mut script = Script::request(&framing, vec![b'b'; piece].into(), parts, b"");
    script.tail = last.into();
    script
}

/// A body of this length in chunks.
pub fn chunked(bytes: usize, chunk_bytes: usize, is_whole: bool) -> Script {
    let tail = if is_whole { END_OF_CHUNKS } else { b"" };
    // Many small chunks are sent in pieces.
    let per_part = (PIECE / chunk_bytes).max(1);
    let part = chunk(chunk_bytes).repeat(per_part);
    let parts = bytes / chunk_bytes / per_part;
    Script::request("Transfer-Encoding: chunked", part.into(), parts, tail)
}

/// A crowd most of whose clients stop short of the end.
fn mostly_stalled(script: impl Fn(bool) -> Script) -> impl Iterator<Item = Script> {
    (0..CLIENTS).map(move |n| script(n % WHOLE_ONE_IN == 0))
}

async fn assert_withstands(subnet: u8, scripts: impl IntoIterator<Item = Script>) {
    let mut installation = Installation::start(subnet, BODY).await;
    let crowd = Crowd::start(installation.gateway.host().clients(), scripts);
    installation.assert_withstands(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_at_once() {
    assert_withstands(50, (0..CLIENTS).map(|_| with_length(BODY, BODY / 2, true))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_end() {
    assert_withstands(
        51,
        mostly_stalled(|whole| with_length(BODY, BODY / 2, whole)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short_of_their_end() {
    assert_withstands(52, mostly_stalled(|whole| with_length(BODY, PIECE, whole))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_in_large_chunks() {
    assert_withstands(53, (0..CLIENTS).map(|_| chunked(BODY, BODY / 4, true))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks_without_the_last_one() {
    assert_withstands(54, mostly_stalled(|whole| chunked(BODY, BODY / 4, whole))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_chunks_without_the_last_one() {
    assert_withstands(
        55,
        mostly_stalled(|whole| chunked(BODY, SMALL_CHUNK, whole)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_are_announced_far_over_the_limit() {
    let script = || with_length(16 * BODY, PIECE, false);
    assert_withstands(56, (0..CLIENTS).map(|_| script())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_far_over_the_limit() {
    let script = || chunked(16 * BODY, 4 * BODY, false);
    assert_withstands(57, (0..CLIENTS).map(|_| script())).await;
}

/// Guards against a body that is held more than once: it is legal, and larger than half of the memory of the host.
#[tokio::test(flavor = "multi_thread")]
async fn one_body_of_the_largest_legal_size_is_served() {
    for script in [
        with_length(LARGEST_BODY, PIECE, true),
        chunked(LARGEST_BODY, PIECE, true),
        with_length(LARGEST_BODY, LARGEST_BODY / 2, true),
    ] {
        let mut installation = Installation::start(58, LARGEST_BODY).await;
        let parts = std::iter::repeat_n(script.part, script.parts);
        let message: Vec<_> = [script.head]
            .into_iter()
            .chain(parts)
            .chain([script.tail])
            .collect();
        let response = installation.gateway.call(&message.concat()).await;
        assert_eq!(response.map(|r| r.status), Some(200));
        assert_eq!(installation.endpoint.body_lengths(), [LARGEST_BODY as u64]);
        installation.assert_well("after the body").await;
    }
}
