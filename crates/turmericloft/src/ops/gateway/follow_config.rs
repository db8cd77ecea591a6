//! Following the environment's documents in the log service.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::shared::Gateway;
use crate::{
    core::{
        Environment, Name,
        config::{Accepted, ConfigRecord, Verdict},
    },
    sources::log_service::{LogRecord, LogService},
};

/// Records read at once.
const PAGE_RECORDS: usize = 64;
/// Time that a read may wait for the first record.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Puts each accepted document in force until `stop`.
pub(super) async fn follow(
    gateway: Arc<Gateway>,
    log: Arc<dyn LogService>,
    environment: Name,
    stop: CancellationToken,
) {
    let stream = ConfigRecord::stream(&environment);
    let mut accepted = None;
    let mut from = 0;
    while !stop.is_cancelled() {
        let page = tokio::select! {
            page = log.read(&stream, from, PAGE_RECORDS, READ_WAIT) => page,
            () = stop.cancelled() => return,
        };
        match page {
            Ok(page) => {
                for record in page.records {
                    from = record.offset + 1;
                    apply(&gateway, &mut accepted, &record);
                }
            }
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

fn apply(gateway: &Gateway, accepted: &mut Option<Accepted>, record: &LogRecord) {
    let offset = record.offset;
    match Accepted::judge(accepted.as_ref(), offset, &record.body) {
        Verdict::Accepted(new) => {
            let version = new.record.version;
            if gateway.put_in_force(Environment::new(version, new.document.clone())) {
                log::info!("version {version} is in force, by {}", new.record.author);
            }
            *accepted = Some(*new);
        }
        Verdict::Malformed(why) => log::warn!("record {offset} is left out: {why}"),
        Verdict::Lost { current } => {
            log::info!("record {offset} came too late; version {current} stays in force");
        }
        Verdict::Repeated => {}
    }
}
