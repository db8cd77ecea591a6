//! Polls for a condition that another process brings about asynchronously.

/// Polls after which [`eventually`] fails.
const MAX_POLLS: usize = 20_000;

/// Calls `poll` until it returns `Some`, and returns that value. Each poll is expected to be a round
/// trip to a server, so the loop is neither a busy loop nor bound to a duration.
///
/// # Panics
///
/// Panics after [`MAX_POLLS`] polls that returned `None`.
pub async fn eventually<T, F: Future<Output = Option<T>>>(mut poll: impl FnMut() -> F) -> T {
    for _ in 0..MAX_POLLS {
        if let Some(value) = poll().await {
            return value;
        }
        tokio::task::yield_now().await;
    }
    panic!("condition not met after {MAX_POLLS} polls");
}
