//! Model of a log whose records expire, concurrent operators, and readers that restart and lag.

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::{BoxedStrategy, Just, Strategy, any, prop_oneof};
use turmericloft::core::{
    config::{AcceptedRecord, ConfigFollower, Page, Recovery, Verdict},
    document::Digest,
};

use super::{
    documents::record,
    readers::{ModelRecord, Reader},
};

pub const READERS: usize = 4;
pub const OPERATORS: usize = 3;

/// An event of the model.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operator reads the log and prepares a promotion.
    Prepare(usize),
    /// An operator's prepared promotion is appended to the log, possibly more than once.
    Append(usize),
    /// A reader reads a page of at most this many records.
    Read(usize, usize),
    /// A reader sends its checkpoint to another reader.
    SendCheckpoint(usize, usize),
    /// A reader prepares a checkpoint.
    PrepareCheckpoint(usize),
    /// A prepared checkpoint is appended to the log.
    AppendCheckpoint(usize),
    /// A reader restarts without state.
    Restart(usize),
    /// The oldest records expire.
    Expire(usize),
    /// A corrupted record is appended: an earlier record, truncated or with a changed byte.
    AppendCorrupted(usize, usize),
    /// An operator who finds no accepted record in the log prepares a recovery.
    PrepareRecovery(usize),
    /// An earlier record is appended again.
    Replay(usize),
}

pub fn events() -> BoxedStrategy<Vec<Event>> {
    let reader = 0..READERS;
    let event = prop_oneof![
        3 => (0..OPERATORS).prop_map(Event::Prepare),
        3 => (0..OPERATORS).prop_map(Event::Append),
        6 => (reader.clone(), 1..5_usize).prop_map(|(r, n)| Event::Read(r, n)),
        2 => (reader.clone(), reader.clone()).prop_map(|(a, b)| Event::SendCheckpoint(a, b)),
        1 => reader.clone().prop_map(Event::PrepareCheckpoint),
        1 => reader.clone().prop_map(Event::AppendCheckpoint),
        1 => reader.prop_map(Event::Restart),
        1 => (1..4_usize).prop_map(Event::Expire),
        1 => (any::<usize>(), any::<usize>()).prop_map(|(a, b)| Event::AppendCorrupted(a, b)),
        1 => any::<usize>().prop_map(Event::Replay),
        1 => (0..OPERATORS).prop_map(Event::PrepareRecovery),
        1 => Just(Event::Read(0, 4)),
    ];
    proptest::collection::vec(event, 1..80).boxed()
}

/// State of the model. `expected` is the accepted record of a reader that evaluates every record as
/// it is appended.
pub struct Model<R> {
    log: VecDeque<ModelRecord>,
    next: u64,
    history: Vec<Vec<u8>>,
    prepared: Vec<Option<Vec<u8>>>,
    prepared_checkpoints: Vec<Option<Vec<u8>>>,
    readers: Vec<R>,
    expected: Option<AcceptedRecord>,
    accepted: BTreeMap<u64, Digest>,
    promotions: u32,
}

impl<R: Reader> Model<R> {
    /// Applies all events, then lets all readers read to the end. Returns the first violation.
    pub fn run(events: &[Event]) -> Result<(), String> {
        let mut model = Self::new();
        for event in events {
            let before: Vec<u64> = model.readers.iter().map(version).collect();
            model.apply(event);
            let restarted = match event {
                Event::Restart(r) => Some(*r),
                _ => None,
            };
            model.check(&before, restarted)?;
        }
        model.check_convergence()
    }

    fn new() -> Self {
        Self {
            log: VecDeque::new(),
            next: 0,
            history: Vec::new(),
            prepared: vec![None; OPERATORS],
            prepared_checkpoints: vec![None; READERS],
            readers: (0..READERS).map(|_| R::default()).collect(),
            expected: None,
            accepted: BTreeMap::new(),
            promotions: 0,
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Prepare(operator) => self.prepare(operator),
            Event::Append(operator) => {
                if let Some(bytes) = &self.prepared[operator] {
                    self.append(bytes.clone());
                }
            }
            Event::Read(reader, limit) => self.read(reader, limit),
            Event::SendCheckpoint(from, to) => self.send_checkpoint(from, to),
            Event::PrepareCheckpoint(reader) => {
                let state = &self.readers[reader];
                let checkpoint = state.checkpoint();
                let checkpoint = checkpoint.filter(|_| state.is_continuous());
                self.prepared_checkpoints[reader] = checkpoint.map(|c| c.encode().unwrap());
            }
            Event::AppendCheckpoint(reader) => {
                if let Some(bytes) = self.prepared_checkpoints[reader].take() {
                    self.append(bytes);
                }
            }
            Event::Restart(reader) => {
                self.readers[reader] = R::default();
                let first = self.first();
                self.readers[reader].seek_near_end(first, self.next);
            }
            Event::Expire(count) => drop(self.log.drain(..count.min(self.log.len()))),
            Event::AppendCorrupted(which, at) => self.append_corrupted(which, at),
            Event::PrepareRecovery(operator) => self.prepare_recovery(operator),
            Event::Replay(which) => {
                if !self.history.is_empty() {
                    self.append(self.history[which % self.history.len()].clone());
                }
            }
        }
    }

    fn first(&self) -> u64 {
        self.next - self.log.len() as u64
    }

    fn append(&mut self, body: Vec<u8>) {
        let offset = self.next;
        if let Verdict::Accepted(new) =
            AcceptedRecord::evaluate(self.expected.as_ref(), offset, &body)
        {
            self.accepted.insert(new.record.version, new.record.digest);
            self.expected = Some(*new);
        }
        self.history.push(body.clone());
        self.log.push_back(ModelRecord { offset, body });
        self.next += 1;
    }

    fn append_corrupted(&mut self, which: usize, at: usize) {
        if self.history.is_empty() {
            return;
        }
        let mut body = self.history[which % self.history.len()].clone();
        if at.is_multiple_of(2) {
            body.truncate(at % body.len().max(1));
        } else if let Some(at) = at.checked_rem(body.len()) {
            body[at] ^= 1;
        }
        self.append(body);
    }

    /// Prepares a record as `promote` does: with the accepted record as parent, if the log still
    /// contains it.
    fn prepare(&mut self, operator: usize) {
        let view = self.view();
        let id = self.next_id();
        self.prepared[operator] = view.is_continuous().then(|| {
            let record = record(view.accepted(), &format!("p{id}"), id);
            record.encode().unwrap()
        });
    }

    fn prepare_recovery(&mut self, operator: usize) {
        let view = self.view();
        if view.is_continuous() {
            return;
        }
        let id = self.next_id();
        let mut recovered = record(None, &format!("p{id}"), id);
        recovered.version = version_of(self.expected.as_ref()) + Recovery::VERSION_STEP;
        let recovery = Recovery {
            evaluated_until: view.read_from(),
            recovered,
        };
        self.prepared[operator] = Some(recovery.encode().unwrap());
    }

    /// The state of an operator who reads the log.
    fn view(&self) -> ConfigFollower {
        let mut view = ConfigFollower::new();
        Reader::seek_near_end(&mut view, self.first(), self.next);
        self.read_to_end(&mut view);
        view
    }

    fn next_id(&mut self) -> u32 {
        self.promotions += 1;
        self.promotions
    }

    fn page(&self, from: u64, limit: usize) -> Vec<ModelRecord> {
        let skipped = from.saturating_sub(self.first()) as usize;
        self.log.iter().skip(skipped).take(limit).cloned().collect()
    }

    fn read(&mut self, reader: usize, limit: usize) {
        let records = self.page(self.readers[reader].read_from(), limit);
        let page = Page {
            first: self.first(),
            next: self.next,
            records: &records,
        };
        self.readers[reader].apply_page(&page);
    }

    fn read_to_end<T: Reader>(&self, reader: &mut T) {
        for _ in 0..self.log.len() * 4 + 4 {
            let records = self.page(reader.read_from(), 16);
            reader.apply_page(&Page {
                first: self.first(),
                next: self.next,
                records: &records,
            });
        }
    }

    fn send_checkpoint(&mut self, from: usize, to: usize) {
        let Some(checkpoint) = self.readers[from].checkpoint() else {
            return;
        };
        let bytes = checkpoint.encode().unwrap();
        self.readers[to].apply_peer_checkpoint(&bytes);
    }

    fn check(&self, before: &[u64], restarted: Option<usize>) -> Result<(), String> {
        for (i, reader) in self.readers.iter().enumerate() {
            if version(reader) < before[i] && restarted != Some(i) {
                return Err(format!("reader {i} went back from version {}", before[i]));
            }
            let Some(accepted) = reader.accepted() else {
                continue;
            };
            let (version, digest) = (accepted.record.version, accepted.record.digest);
            if self.accepted.get(&version) != Some(&digest) {
                return Err(format!(
                    "reader {i} accepted a rejected record of version {version}"
                ));
            }
        }
        Ok(())
    }

    /// Lets all readers read to the end and exchange checkpoints. Readers without a gap must agree
    /// with the expected record; if there is one, so must all others after the exchange.
    fn check_convergence(&mut self) -> Result<(), String> {
        let mut readers = std::mem::take(&mut self.readers);
        readers.iter_mut().for_each(|r| self.read_to_end(r));
        self.readers = readers;
        let newest = version_of(self.expected.as_ref());
        let continuous = self.readers.iter().filter(|r| r.is_continuous());
        if let Some(behind) = continuous.clone().find(|r| version(*r) != newest) {
            return Err(format!(
                "a reader ends with version {} instead of {newest}",
                version(behind)
            ));
        }
        if continuous.count() > 0 {
            self.exchange_checkpoints()?;
        }
        Ok(())
    }

    fn exchange_checkpoints(&mut self) -> Result<(), String> {
        let before: Vec<u64> = self.readers.iter().map(version).collect();
        for from in 0..READERS {
            for to in 0..READERS {
                self.send_checkpoint(from, to);
            }
        }
        self.check(&before, None)?;
        let newest = version_of(self.expected.as_ref());
        match self.readers.iter().find(|r| version(*r) != newest) {
            Some(behind) => Err(format!(
                "a reader stays at version {} instead of {newest}",
                version(behind)
            )),
            None => Ok(()),
        }
    }
}

fn version<R: Reader>(reader: &R) -> u64 {
    version_of(reader.accepted())
}

fn version_of(accepted: Option<&AcceptedRecord>) -> u64 {
    accepted.map_or(0, |a| a.record.version)
}
