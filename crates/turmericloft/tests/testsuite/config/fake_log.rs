//! A log service in memory, and access to it with injected faults.

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

/// Latency of each request while the log service is slow.
const SLOW_LATENCY: Duration = Duration::from_millis(1_500);

/// All streams of the log service.
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
    /// Appends a record and returns its offset.
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

    /// Removes all present records of a stream.
    pub fn expire(&self, stream: &str) {
        if let Some(stream) = self.streams.lock().get_mut(stream) {
            stream.first += stream.records.len() as u64;
            stream.records.clear();
        }
    }

    /// The oldest record of a stream that has not expired.
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

/// Access of an operator or a gateway to the log service.
pub struct LogClient {
    pub world: Weak<World>,
    pub client: Client,
}

impl LogClient {
    async fn connect(&self) -> Result<Arc<World>, LogError> {
        let world = self.world.upgrade().ok_or_else(unavailable)?;
        world.wait_until_unfrozen(self.client).await;
        sleep(if world.is_slow() {
            SLOW_LATENCY
        } else {
            LATENCY
        })
        .await;
        if world.is_cut_off(self.client) {
            return Err(unavailable());
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
                world.on_step(Step::Checked);
            }
            let world = self.connect().await?;
            let offset = world.log.append(stream, body, world.now_ms());
            if promotes {
                world.on_step(Step::Appended);
            }
            if stream.starts_with("acks.") {
                world.on_step(Step::Acknowledged);
            }
            world.respond(offset).await
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
                let world = self.connect().await?;
                let appended = world.log.appended.notified();
                let page = world.log.read(stream, from, limit);
                if !page.records.is_empty() {
                    if matches!(self.client, Client::Gateway(_)) {
                        world.on_step(Step::ReadByGateway);
                    }
                    return world.respond(page).await;
                }
                if timeout_at(deadline, appended).await.is_err() {
                    return world.respond(page).await;
                }
            }
        })
    }
}

fn unavailable() -> LogError {
    LogError::Rejected {
        reason: "down".to_owned(),
        source: None,
    }
}

/// The error of a request that took effect although its response was lost.
pub fn response_lost() -> LogError {
    LogError::ResponseLost {
        source: RequestError::Timeout {
            peer: "127.0.0.1:1".parse().unwrap(),
            limit: Duration::from_secs(2),
        },
    }
}
