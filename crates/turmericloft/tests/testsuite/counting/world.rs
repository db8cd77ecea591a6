//! One host's gateway and reporter and the log service, as plain values, with an independent
//! model of what was counted.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use turmericloft::core::{
    HostId, Name, Outcome, Step,
    counting::{
        CountKey, Ledger, OpenCount, Publisher, RoundPart, Snapshot,
        report::{GroupBy, History, Period, Report, Weights},
    },
    document::MeasurementBudget,
};

/// Start of every session, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_780_000_000_000;
const CALLERS: [&str; 3] = ["anna", "bo", "cleo"];

/// Admitted and ended requests by caller, as the test itself saw them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub admitted: u64,
    pub ended: BTreeMap<Outcome, u64>,
}

/// What happens to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Whole,
    Lost,
    AnswerLost,
    Twice,
    Late,
}

pub struct World {
    start: Instant,
    pub elapsed: Duration,
    pub host: HostId,
    pub ledger: Arc<Ledger>,
    pub open: Vec<(usize, OpenCount)>,
    pub held: u64,
    pub publisher: Publisher,
    pub late: Vec<Snapshot>,
    pub log: Vec<Vec<u8>>,
    pub kept_from_ms: Option<u64>,
    pub weights: Weights,
    /// What was counted, by incarnation and caller.
    pub seen: BTreeMap<u64, BTreeMap<String, Seen>>,
}

impl World {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            host: HostId {
                name: name("gw-1"),
                incarnation: START_MS,
            },
            ledger: Ledger::new(),
            open: Vec::new(),
            held: 0,
            publisher: Publisher::new(&MeasurementBudget::default()),
            late: Vec::new(),
            log: Vec::new(),
            kept_from_ms: None,
            weights: Weights::default(),
            seen: BTreeMap::new(),
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
        let count = self.ledger.admit_at(key(CALLERS[caller]), self.now());
        self.seen(caller).admitted += 1;
        self.open.push((caller, count));
    }

    pub fn end(&mut self, which: usize, outcome: Outcome) {
        if self.open.is_empty() {
            return;
        }
        let (caller, count) = self.open.swap_remove(which % self.open.len());
        if outcome == Outcome::Unfinished {
            drop(count);
        } else {
            count.end_at(outcome, Step::Relayed, self.now());
        }
        *self.seen(caller).ended.entry(outcome).or_default() += 1;
    }

    pub fn send_snapshot(&mut self, delivery: Delivery) {
        let snapshot = self
            .ledger
            .snapshot(self.host.clone(), self.held, self.now_ms());
        match delivery {
            Delivery::Lost => {}
            Delivery::Late => self.late.push(snapshot),
            Delivery::AnswerLost => {
                self.publisher.apply(snapshot);
            }
            Delivery::Twice => {
                self.publisher.apply(snapshot.clone());
                self.held = self.publisher.apply(snapshot).held;
            }
            Delivery::Whole => self.held = self.publisher.apply(snapshot).held,
        }
    }

    pub fn deliver_late(&mut self) {
        for snapshot in std::mem::take(&mut self.late) {
            self.publisher.apply(snapshot);
        }
    }

    /// Appends the record that is due, if any.
    pub fn append(&mut self, delivery: Delivery) {
        let now = self.now();
        let Some(record) = self.publisher.next(now).map(<[u8]>::to_vec) else {
            return;
        };
        match delivery {
            Delivery::Lost | Delivery::Late => self.publisher.failed(now),
            Delivery::AnswerLost => {
                self.log.push(record);
                self.publisher.failed(now);
            }
            Delivery::Twice => {
                self.log.extend([record.clone(), record]);
                self.publisher.appended(now);
            }
            Delivery::Whole => {
                self.log.push(record);
                self.publisher.appended(now);
            }
        }
    }

    /// Lets seconds pass in which everything works.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.elapsed += Duration::from_secs(1);
            self.send_snapshot(Delivery::Whole);
            self.append(Delivery::Whole);
        }
    }

    pub fn kill_gateway(&mut self) {
        self.elapsed += Duration::from_millis(1);
        self.cut_off();
        self.start_gateway();
    }

    pub fn stop_gateway(&mut self) {
        let last = self.ledger.snapshot(self.host.clone(), 0, self.now_ms());
        self.publisher.apply(last.into_last());
        self.cut_off();
    }

    pub fn start_gateway(&mut self) {
        self.elapsed += Duration::from_millis(1);
        self.host.incarnation = self.now_ms();
        self.ledger = Ledger::new();
        self.held = 0;
    }

    pub fn kill_reporter(&mut self) {
        self.publisher = Publisher::new(&MeasurementBudget::default());
    }

    /// Publishes what is left, as a reporter does before it stops.
    pub fn stop_reporter(&mut self) {
        let now = self.now();
        while let Some(record) = self.publisher.next_at_stop(now).map(<[u8]>::to_vec) {
            self.log.push(record);
            self.publisher.appended(now);
        }
    }

    /// Drops all records, as if they were past the log service's retention.
    pub fn expire_log(&mut self) {
        self.kept_from_ms = Some(self.now_ms());
        self.log.clear();
    }

    pub fn history(&self) -> History {
        let mut history = History::default();
        if let Some(kept_from_ms) = self.kept_from_ms {
            history.note_dropped(kept_from_ms);
        }
        for record in &self.log {
            history.add_record(record, self.now_ms());
        }
        history
    }

    /// A report of everything, by caller.
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

    /// What was counted by the incarnations of which the log service has a record.
    pub fn seen_in_log(&self) -> BTreeMap<String, Seen> {
        let recorded = |incarnation: &u64| {
            let of = |record: &Vec<u8>| RoundPart::decode(record).expect("a record");
            let mut parts = self.log.iter().map(of);
            parts.any(|part| part.round.host.incarnation == *incarnation)
        };
        let mut sum: BTreeMap<String, Seen> = BTreeMap::new();
        for (_, callers) in self.seen.iter().filter(|(i, _)| recorded(i)) {
            for (caller, seen) in callers {
                let sum = sum.entry(caller.clone()).or_default();
                sum.admitted += seen.admitted;
                for (outcome, n) in &seen.ended {
                    *sum.ended.entry(*outcome).or_default() += n;
                }
            }
        }
        sum
    }

    /// What is in flight when a gateway's process ends is unfinished.
    fn cut_off(&mut self) {
        for (caller, count) in std::mem::take(&mut self.open) {
            drop(count);
            *self
                .seen(caller)
                .ended
                .entry(Outcome::Unfinished)
                .or_default() += 1;
        }
    }

    fn seen(&mut self, caller: usize) -> &mut Seen {
        self.seen
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
