//! A simulation, without I/O and with a simulated clock, of one host's gateway and reporter and of
//! the log service, with an independent model of the expected counts.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use turmericloft::core::{
    HostId, Name, Outcome, Step,
    counting::{
        CountKey, InFlightRequest, Publisher, RequestCounters, RoundPart, Snapshot,
        report::{GroupBy, History, KindWeights, Period, Report},
    },
    document::MeasurementBudget,
};

/// Start of every simulation, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_780_000_000_000;
const CALLERS: [&str; 3] = ["anna", "bo", "cleo"];

/// Admitted and ended requests of one caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerCounts {
    pub admitted: u64,
    pub ended: BTreeMap<Outcome, u64>,
}

/// Result of sending one message; what is delayed or lost is not applied at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Success,
    Lost,
    ResponseLost,
    Duplicate,
    Delayed,
}

pub struct Simulation {
    start: Instant,
    pub elapsed: Duration,
    pub host: HostId,
    pub counters: Arc<RequestCounters>,
    pub in_flight: Vec<(usize, InFlightRequest)>,
    /// Sequence of the newest snapshot that the reporter has acknowledged.
    pub acked: u64,
    pub publisher: Publisher,
    /// Snapshots that were sent but have not arrived yet.
    pub delayed: Vec<Snapshot>,
    /// Records of the log service.
    pub log: Vec<Vec<u8>>,
    pub retained_from_ms: Option<u64>,
    pub weights: KindWeights,
    /// Counts that the model expects, by incarnation and caller.
    pub expected: BTreeMap<u64, BTreeMap<String, CallerCounts>>,
}

impl Simulation {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            host: HostId {
                name: name("gw-1"),
                incarnation: START_MS,
            },
            counters: RequestCounters::new(),
            in_flight: Vec::new(),
            acked: 0,
            publisher: Publisher::new(&MeasurementBudget::default()),
            delayed: Vec::new(),
            log: Vec::new(),
            retained_from_ms: None,
            weights: KindWeights::default(),
            expected: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    pub fn now_ms(&self) -> u64 {
        START_MS + self.elapsed.as_millis() as u64
    }

    pub fn admit(&mut self, caller: usize) {
        let caller = caller % CALLERS.len();
        let request = self.counters.admit_at(key(CALLERS[caller]), self.now());
        self.expected(caller).admitted += 1;
        self.in_flight.push((caller, request));
    }

    pub fn end(&mut self, which: usize, outcome: Outcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let (caller, request) = self.in_flight.swap_remove(which % self.in_flight.len());
        if outcome == Outcome::Unfinished {
            drop(request);
        } else {
            request.end_at(outcome, Step::Relayed, self.now());
        }
        *self.expected(caller).ended.entry(outcome).or_default() += 1;
    }

    pub fn send_snapshot(&mut self, delivery: Delivery) {
        let snapshot = self
            .counters
            .snapshot(self.host.clone(), self.acked, self.now_ms());
        match delivery {
            Delivery::Lost => {}
            Delivery::Delayed => self.delayed.push(snapshot),
            Delivery::ResponseLost => {
                self.publisher.apply(snapshot);
            }
            Delivery::Duplicate => {
                self.publisher.apply(snapshot.clone());
                self.acked = self.publisher.apply(snapshot).acked_sequence;
            }
            Delivery::Success => self.acked = self.publisher.apply(snapshot).acked_sequence,
        }
    }

    pub fn deliver_delayed(&mut self) {
        for snapshot in std::mem::take(&mut self.delayed) {
            self.publisher.apply(snapshot);
        }
    }

    /// Appends the record that is due, if any. A delayed append counts as failed.
    pub fn append(&mut self, delivery: Delivery) {
        let now = self.now();
        let Some(record) = self.publisher.next_record(now).map(<[u8]>::to_vec) else {
            return;
        };
        match delivery {
            Delivery::Lost | Delivery::Delayed => self.publisher.record_append_failure(now),
            Delivery::ResponseLost => {
                self.log.push(record);
                self.publisher.record_append_failure(now);
            }
            Delivery::Duplicate => {
                self.log.extend([record.clone(), record]);
                self.publisher.record_append(now);
            }
            Delivery::Success => {
                self.log.push(record);
                self.publisher.record_append(now);
            }
        }
    }

    /// Advances the clock by `seconds`, sending one snapshot and one append in each, without faults.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.elapsed += Duration::from_secs(1);
            self.send_snapshot(Delivery::Success);
            self.append(Delivery::Success);
        }
    }

    pub fn kill_gateway(&mut self) {
        self.elapsed += Duration::from_millis(1);
        self.end_in_flight();
        self.start_gateway();
    }

    pub fn stop_gateway(&mut self) {
        let last = self.counters.snapshot(self.host.clone(), 0, self.now_ms());
        self.publisher.apply(last.into_last());
        self.end_in_flight();
    }

    pub fn start_gateway(&mut self) {
        self.elapsed += Duration::from_millis(1);
        self.host.incarnation = self.now_ms();
        self.counters = RequestCounters::new();
        self.acked = 0;
    }

    pub fn kill_reporter(&mut self) {
        self.publisher = Publisher::new(&MeasurementBudget::default());
    }

    /// Publishes all remaining records, as a reporter does when it stops.
    pub fn stop_reporter(&mut self) {
        let now = self.now();
        while let Some(record) = self.publisher.next_record_at_stop(now).map(<[u8]>::to_vec) {
            self.log.push(record);
            self.publisher.record_append(now);
        }
    }

    /// Drops all records, as if they had passed the retention of the log service.
    pub fn expire_log(&mut self) {
        self.retained_from_ms = Some(self.now_ms());
        self.log.clear();
    }

    pub fn history(&self) -> History {
        let mut history = History::default();
        if let Some(retained_from_ms) = self.retained_from_ms {
            history.record_retention_start(retained_from_ms);
        }
        for record in &self.log {
            history.add_record(record, self.now_ms());
        }
        history
    }

    /// A report of all records, by caller.
    pub fn report(&self) -> Report {
        self.report_since(0, GroupBy::Caller)
    }

    pub fn report_since(&self, from_ms: u64, by: GroupBy) -> Report {
        let period = Period {
            from_ms,
            to_ms: self.now_ms(),
        };
        Report::build(&self.history(), &name("test"), by, period, &self.weights)
    }

    /// Expected counts of the incarnations of which the log service has a record.
    pub fn expected_in_log(&self) -> BTreeMap<String, CallerCounts> {
        let recorded = |incarnation: &u64| {
            let decode = |record: &Vec<u8>| RoundPart::decode(record).expect("a record");
            let mut parts = self.log.iter().map(decode);
            parts.any(|part| part.round.host.incarnation == *incarnation)
        };
        let mut sum: BTreeMap<String, CallerCounts> = BTreeMap::new();
        for (_, callers) in self.expected.iter().filter(|(i, _)| recorded(i)) {
            for (caller, expected) in callers {
                let sum = sum.entry(caller.clone()).or_default();
                sum.admitted += expected.admitted;
                for (outcome, n) in &expected.ended {
                    *sum.ended.entry(*outcome).or_default() += n;
                }
            }
        }
        sum
    }

    /// Ends the requests in flight as unfinished, as the end of the gateway's process does.
    fn end_in_flight(&mut self) {
        for (caller, request) in std::mem::take(&mut self.in_flight) {
            drop(request);
            *self
                .expected(caller)
                .ended
                .entry(Outcome::Unfinished)
                .or_default() += 1;
        }
    }

    fn expected(&mut self, caller: usize) -> &mut CallerCounts {
        self.expected
            .entry(self.host.incarnation)
            .or_default()
            .entry(CALLERS[caller].to_owned())
            .or_default()
    }
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

pub fn key(caller: &str) -> CountKey {
    CountKey {
        caller: name(caller),
        service: name("calendar"),
        kind: name("lookup"),
    }
}
