//! Waiting for what another process does in its own time.

/// Questions asked before the wait counts as failed.
const MAX_QUESTIONS: usize = 20_000;

/// Asks again until the answer is there. Each question is a round trip to another process, so
/// this neither spins nor depends on a duration.
pub async fn eventually<T, F: Future<Output = Option<T>>>(mut ask: impl FnMut() -> F) -> T {
    for _ in 0..MAX_QUESTIONS {
        if let Some(answer) = ask().await {
            return answer;
        }
        tokio::task::yield_now().await;
    }
    panic!("not seen after {MAX_QUESTIONS} questions");
}
