//! State shared by the tasks of a reporter.

use std::{sync::Arc, time::Instant};

use cpu_time::ThreadTime;
use parking_lot::Mutex;

use super::{CostScope, Summary, cost_meter::CostMeter};
use crate::core::{
    counting::{Governor, MeasuredCost, Publisher, SnapshotMessage, SnapshotReply},
    document::MeasurementBudget,
};

/// Processes of a host that hold every row: the gateway and its reporter.
const HOLDERS: u64 = 2;

/// What a reporter holds and what it costs.
#[derive(Debug)]
pub struct ReporterState {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    publisher: Publisher,
    governor: Governor,
    meter: CostMeter,
    budget: MeasurementBudget,
    cost: MeasuredCost,
    gateway_core_share: f64,
}

impl ReporterState {
    /// A reporter that holds nothing yet.
    pub fn new(scope: CostScope) -> Arc<Self> {
        let budget = MeasurementBudget::default();
        Arc::new(Self {
            inner: Mutex::new(Inner {
                publisher: Publisher::new(&budget),
                governor: Governor::new(),
                meter: CostMeter::new(scope),
                budget,
                cost: MeasuredCost::default(),
                gateway_core_share: 0.0,
            }),
        })
    }

    /// Takes a snapshot of the gateway.
    pub fn apply(&self, message: SnapshotMessage) -> SnapshotReply {
        let start = ThreadTime::now();
        let mut inner = self.inner.lock();
        inner.gateway_core_share = message.core_share;
        if let Some(budget) = message.budget {
            inner.budget = budget;
        }
        let reply = inner.publisher.apply(message.snapshot);
        inner.meter.add_work(start);
        reply
    }

    /// Compares the cost with the budget and sets the resolution.
    pub fn govern(&self, now: Instant) {
        let mut inner = self.inner.lock();
        let inner = &mut *inner;
        inner.cost = MeasuredCost {
            core_share: inner.meter.core_share(now) + inner.gateway_core_share,
            bytes_per_s: inner.publisher.required_bytes_per_s(),
            memory_bytes: HOLDERS * inner.publisher.memory_bytes() as u64,
        };
        let resolution = inner.governor.decide(now, &inner.cost, &inner.budget);
        inner
            .publisher
            .set_resolution_and_budget(resolution, &inner.budget);
    }

    /// The record to append now, if one is due.
    pub fn next(&self, now: Instant) -> Option<Vec<u8>> {
        self.work(|p| p.next_record(now).map(<[u8]>::to_vec))
    }

    /// The record to append before the reporter stops.
    pub fn next_at_stop(&self, now: Instant) -> Option<Vec<u8>> {
        self.work(|p| p.next_record_at_stop(now).map(<[u8]>::to_vec))
    }

    /// Notes whether the record given last was appended.
    pub fn note_append(&self, appended: bool, now: Instant) {
        self.work(|p| {
            if appended {
                p.record_append(now);
            } else {
                p.record_append_failure(now);
            }
        });
    }

    /// What is held, and at what cost.
    pub fn summary(&self) -> Summary {
        let inner = self.inner.lock();
        Summary::new(&inner.publisher, inner.cost, inner.budget)
    }

    fn work<T>(&self, work: impl FnOnce(&mut Publisher) -> T) -> T {
        let start = ThreadTime::now();
        let mut inner = self.inner.lock();
        let result = work(&mut inner.publisher);
        inner.meter.add_work(start);
        result
    }
}
