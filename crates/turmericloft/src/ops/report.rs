//! Reading who got what.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use thiserror::Error;

use crate::{
    core::{
        HostId, Name,
        counting::{CountKey, CountRow, Snapshot},
    },
    sources::log_service::{LogError, LogService},
};

/// Records read from the log service at once.
const PAGE_RECORDS: usize = 256;

/// Why no report could be made.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The log service could not be read.
    #[error("the log service failed")]
    Log(#[from] LogError),
}

/// Sums the newest snapshot of each incarnation of each gateway.
pub async fn read_report(
    log: &dyn LogService,
    environment: &Name,
) -> Result<Vec<CountRow>, ReportError> {
    let stream = Snapshot::stream(environment);
    let mut newest: HashMap<HostId, Snapshot> = HashMap::new();
    let mut from = 0;
    loop {
        let page = log
            .read(&stream, from, PAGE_RECORDS, Duration::ZERO)
            .await?;
        let Some(last) = page.records.last() else {
            break;
        };
        from = last.offset + 1;
        let snapshots = page
            .records
            .iter()
            .filter_map(|r| postcard::from_bytes(&r.body).ok());
        snapshots.for_each(|snapshot| keep_newest(&mut newest, snapshot));
    }
    Ok(sum(newest.values()))
}

fn keep_newest(newest: &mut HashMap<HostId, Snapshot>, snapshot: Snapshot) {
    let known = newest.get(&snapshot.host).map_or(0, |s| s.sequence);
    if snapshot.sequence > known {
        newest.insert(snapshot.host.clone(), snapshot);
    }
}

fn sum<'a>(snapshots: impl Iterator<Item = &'a Snapshot>) -> Vec<CountRow> {
    let mut rows: BTreeMap<CountKey, CountRow> = BTreeMap::new();
    for row in snapshots.flat_map(|s| &s.rows) {
        let sum = rows
            .entry(row.key.clone())
            .or_insert_with(|| CountRow::new(row.key.clone()));
        sum.add(row);
    }
    rows.into_values().collect()
}
