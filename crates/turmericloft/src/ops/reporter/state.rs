//! State shared by the tasks of a reporter.

use std::{sync::Arc, time::Instant};

use cpu_time::ThreadTime;
use parking_lot::Mutex;

use super::{CpuTimeScope, Summary, cpu_meter::CpuMeter};
use crate::core::{
    counting::{Governor, MeasuredCost, Publisher, SnapshotMessage, SnapshotReply},
    document::MeasurementBudget,
};

/// Number of processes on a host that keep each row in memory: the gateway and its reporter.
const COPIES: u64 = 2;

/// Counts of a reporter, and the measured cost of counting on its host.
#[derive(Debug)]
pub struct ReporterState {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    publisher: Publisher,
    governor: Governor,
    meter: CpuMeter,
    budget: MeasurementBudget,
    cost: MeasuredCost,
    gateway_core_share: f64,
    /// Whether the publisher has ended, so that further counts would not be published.
    is_closed: bool,
}

impl ReporterState {
    /// Creates a state without counts and with the default budget.
    pub fn new(scope: CpuTimeScope) -> Arc<Self> {
        let budget = MeasurementBudget::default();
        Arc::new(Self {
            inner: Mutex::new(Inner {
                publisher: Publisher::new(&budget),
                governor: Governor::new(),
                meter: CpuMeter::new(scope),
                budget,
                cost: MeasuredCost::default(),
                gateway_core_share: 0.0,
                is_closed: false,
            }),
        })
    }

    /// Applies a snapshot of the gateway's counts, and the budget if the message contains one.
    /// `None` once the publisher has ended: a reply would acknowledge counts that nobody publishes.
    pub fn apply_snapshot(&self, message: SnapshotMessage) -> Option<SnapshotReply> {
        let start = ThreadTime::now();
        let mut inner = self.inner.lock();
        if inner.is_closed {
            return None;
        }
        inner.gateway_core_share = message.core_share;
        if let Some(budget) = message.budget {
            inner.budget = budget;
        }
        let reply = inner.publisher.apply(message.snapshot);
        inner.meter.add_work(start);
        Some(reply)
    }

    /// Measures the cost, compares it with the budget and sets the resolution accordingly.
    pub fn adjust_resolution(&self, now: Instant) {
        let mut inner = self.inner.lock();
        let inner = &mut *inner;
        inner.cost = MeasuredCost {
            core_share: inner.meter.core_share(now) + inner.gateway_core_share,
            bytes_per_s: inner.publisher.required_bytes_per_s(),
            memory_bytes: COPIES * inner.publisher.memory_bytes() as u64,
        };
        let resolution = inner.governor.decide(now, &inner.cost, &inner.budget);
        inner
            .publisher
            .set_resolution_and_budget(resolution, &inner.budget);
    }

    /// Returns the encoded record to append now, or `None` if none is due.
    pub fn next_record(&self, now: Instant) -> Option<Vec<u8>> {
        self.with_publisher(|p| p.next_record(now).map(<[u8]>::to_vec))
    }

    /// Returns the next encoded record to append while the reporter stops, or `None` if all are
    /// appended. After `None`, no further snapshot is accepted.
    pub fn next_record_at_stop(&self, now: Instant) -> Option<Vec<u8>> {
        let start = ThreadTime::now();
        let mut inner = self.inner.lock();
        let record = inner.publisher.next_record_at_stop(now).map(<[u8]>::to_vec);
        inner.is_closed |= record.is_none();
        inner.meter.add_work(start);
        record
    }

    /// Accepts no further snapshot, although records are left that are not appended. Returns their
    /// number.
    pub(super) fn abandon_records(&self) -> usize {
        self.inner.lock().is_closed = true;
        self.summary().queued_records
    }

    /// Records whether the append of the record that was returned last succeeded.
    pub fn record_append(&self, appended: bool, now: Instant) {
        self.with_publisher(|p| {
            if appended {
                p.record_append(now);
            } else {
                p.record_append_failure(now);
            }
        });
    }

    /// Returns the counts in memory and the last measured cost.
    pub fn summary(&self) -> Summary {
        let inner = self.inner.lock();
        Summary::new(&inner.publisher, inner.cost, inner.budget)
    }

    /// Runs `f` on the publisher and adds its CPU time to the own work.
    fn with_publisher<T>(&self, f: impl FnOnce(&mut Publisher) -> T) -> T {
        let start = ThreadTime::now();
        let mut inner = self.inner.lock();
        let result = f(&mut inner.publisher);
        inner.meter.add_work(start);
        result
    }
}
