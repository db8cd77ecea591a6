//! Size and time of a full snapshot of the counts by its number of rows.

use std::{hint::black_box, time::Instant};

use turmericloft::core::{
    HostId, Name, Outcome,
    counting::{CountKey, RequestCounters},
};

use super::{
    super::ExperimentResult,
    Args,
    series::{SIZE_FRACTIONS, Series},
};
use crate::figure::Printer;

/// Services that each caller uses.
const SERVICES_PER_CALLER: usize = 3;
/// Requests that are counted in each row.
const REQUESTS_PER_ROW: usize = 4;

pub(super) fn measure(args: &Args, figures: &Printer) -> ExperimentResult {
    let mut bytes = Series::new("counting", "full_snapshot_bytes", "bytes");
    let mut time = Series::new("counting", "full_snapshot_ms", "ms");
    for fraction in SIZE_FRACTIONS {
        let callers = (args.callers as f64 * fraction) as usize;
        let counters = RequestCounters::new();
        count_requests(&counters, callers, args.services)?;
        let host = HostId {
            name: Name::new("gw-1")?,
            incarnation: 1,
        };
        let start = Instant::now();
        let snapshot = black_box(counters.snapshot(host, 0, 0));
        let elapsed_ms = start.elapsed().as_secs_f64() * 1_000.0;
        let rows = snapshot.rows.len() as f64;
        bytes.add_point(rows, postcard::to_stdvec(&snapshot)?.len() as f64);
        time.add_point(rows, elapsed_ms);
    }
    [bytes, time]
        .iter()
        .for_each(|series| series.print(figures));
    Ok(())
}

fn count_requests(counters: &RequestCounters, callers: usize, services: usize) -> ExperimentResult {
    for caller in 0..callers {
        for service in 0..SERVICES_PER_CALLER {
            let key = CountKey {
                caller: Name::new(&format!("caller-{caller}"))?,
                service: Name::new(&format!("service-{}", (caller + service) % services))?,
                kind: Name::new("read")?,
            };
            for _ in 0..REQUESTS_PER_ROW {
                counters.admit(key.clone()).end(Outcome::Served);
            }
        }
    }
    Ok(())
}
