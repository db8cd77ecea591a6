//! A log service in memory, as one client sees it.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
    time::Duration,
};

use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};
use turmericloft::sources::{
    http_client::RequestError,
    log_service::{LogError, LogRecord, LogService, RecordPage},
};

use super::world::{Client, LATENCY, Step, World};

/// Time of each answer while the log service is slow.
const SLOW: Duration = Duration::from_millis(1_500);

/// All streams.
#[derive(Default)]
pub struct FakeLog {
    streams: Mutex<HashMap<String, Stream>>,
    appended: Notify,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: Vec<LogRecord>,
}

impl FakeLog {
    /// Appends a record and gives its offset.
    pub fn append(&self, stream: &str, body: Vec<u8>, appended_at_ms: u64) -> u64 {
        let mut streams = self.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let offset = stream.first + stream.records.len() as u64;
        stream.records.push(LogRecord {
            offset,
            appended_at_ms,
            body,
        });
        self.appended.notify_waiters();
        offset
    }

    /// Removes all records of a stream that are there now.
    pub fn expire(&self, stream: &str) {
        if let Some(stream) = self.streams.lock().get_mut(stream) {
            stream.first += stream.records.len() as u64;
            stream.records.clear();
        }
    }

    /// The first record ever appended to a stream, if it is still there.
    pub fn oldest(&self, stream: &str) -> Option<Vec<u8>> {
        let streams = self.streams.lock();
        let first = streams.get(stream)?.records.first()?;
        Some(first.body.clone())
    }

    fn read(&self, stream: &str, from: u64, limit: usize) -> RecordPage {
        let mut streams = self.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let skipped = from.saturating_sub(stream.first) as usize;
        let records = stream.records.iter().skip(skipped).take(limit);
        RecordPage {
            first: stream.first,
            next: stream.first + stream.records.len() as u64,
            records: records.cloned().collect(),
        }
    }
}

/// The log service as an operator or a gateway reaches it.
pub struct LogClient {
    pub world: Weak<World>,
    pub client: Client,
}

impl LogClient {
    async fn reach(&self) -> Result<Arc<World>, LogError> {
        let world = self.world.upgrade().ok_or_else(rejected)?;
        world.unfrozen(self.client).await;
        sleep(if world.is_slow() { SLOW } else { LATENCY }).await;
        if world.is_cut_off(self.client) {
            return Err(rejected());
        }
        Ok(world)
    }
}

impl LogService for LogClient {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        Box::pin(async move {
            let promotes = self.client == Client::Operator && stream == World::STREAM;
            if let Some(world) = self.world.upgrade().filter(|_| promotes) {
                world.reached(Step::Checked);
            }
            let world = self.reach().await?;
            let offset = world.log.append(stream, body, world.now_ms());
            if promotes {
                world.reached(Step::Appended);
            }
            if stream.starts_with("acks.") {
                world.reached(Step::Acknowledged);
            }
            world.answer(offset).await
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RecordPage, LogError>> {
        Box::pin(async move {
            let deadline = Instant::now() + wait;
            loop {
                let world = self.reach().await?;
                let appended = world.log.appended.notified();
                let page = world.log.read(stream, from, limit);
                if !page.records.is_empty() {
                    if matches!(self.client, Client::Gateway(_)) {
                        world.reached(Step::Tailed);
                    }
                    return world.answer(page).await;
                }
                if timeout_at(deadline, appended).await.is_err() {
                    return world.answer(page).await;
                }
            }
        })
    }
}

fn rejected() -> LogError {
    LogError::Rejected {
        reason: "down".to_owned(),
        source: None,
    }
}

/// The error of a request that took effect and whose answer was lost.
pub fn answer_lost() -> LogError {
    LogError::ResponseLost {
        source: RequestError::Timeout {
            peer: "127.0.0.1:1".parse().unwrap(),
            limit: Duration::from_secs(2),
        },
    }
}
