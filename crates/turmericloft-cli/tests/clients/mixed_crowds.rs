//! Crowds of all kinds of clients at once, one crowd after the other against the same process.

use std::env;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    bodies::{BODY, CLIENTS, chunked, with_length},
    connections::{partial_head, silent},
    crowd::{Crowd, Script},
    installation::Installation,
};

/// Environment variable with the number of crowds, for longer runs by hand.
const SEEDS: &str = "TURMERICLOFT_CROWDS";
/// Number of crowds unless the variable is set.
const DEFAULT_SEEDS: u64 = 3;
/// Sizes of pieces and chunks, in bytes.
const PIECES: [usize; 4] = [16, 1 << 10, 64 << 10, 1 << 20];

/// A client of a kind that is drawn.
fn draw(rng: &mut Pcg64Mcg) -> Script {
    let piece = PIECES[rng.random_range(0..PIECES.len())];
    let is_whole = rng.random_bool(0.3);
    let sizes = [piece * 2, BODY / 4, BODY, 4 * BODY];
    let size = sizes[rng.random_range(0..sizes.len())].max(piece * 2);
    match rng.random_range(0..10) {
        0 => silent(),
        1 => partial_head(),
        2..6 => chunked(size, piece, is_whole),
        _ => with_length(size, piece, is_whole),
    }
}

/// Guards against memory that grows from crowd to crowd, and against kinds of clients that only harm together.
#[tokio::test(flavor = "multi_thread")]
async fn process_withstands_one_mixed_crowd_after_the_other() {
    let seeds = env::var(SEEDS).ok().and_then(|text| text.parse().ok());
    let mut installation = Installation::start(70, BODY).await;
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let scripts = (0..CLIENTS).map(|_| draw(&mut rng));
        let crowd = Crowd::start(installation.gateway.host().clients(), scripts);
        installation.assert_withstands(crowd).await;
    }
}
