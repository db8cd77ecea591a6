//! Gateways that learn of documents from a store and from each other, without I/O.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    key_lease::{AccessRejection, KeyAuthority, LeaseTimings, NewestDocument, PresentedKey},
    relay::{DocumentAsOf, DocumentFreshness, DocumentTimings},
};

use super::{CONFIG_DEADLINE, REVOCATION, key, leased, organisation, table};

/// Time of one step of the simulation.
const TICK_MS: u64 = 50;
/// Followers of one gateway.
const FANOUT: usize = 8;
const ZONES: usize = 3;
/// Time between two polls of a follower.
const POLL_INTERVAL_MS: u64 = 900;
/// Delay before a read that failed is repeated.
const RETRY_MS: u64 = 200;
/// Time after the end of a fault for a read on a busy host.
const SETTLE_MS: u64 = 1_000;
/// Time to an endpoint and in its queue.
const TRANSIT_MS: u64 = 500;

/// A time in which a gateway has a fault, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    pub from: u64,
    pub until: u64,
}

impl Span {
    fn contains(self, t: u64) -> bool {
        (self.from..self.until).contains(&t)
    }

    /// Whether it touches the time from `from` to `until`.
    fn overlaps(self, from: u64, until: u64) -> bool {
        self.from < self.until && self.from <= until && from <= self.until
    }
}

/// Faults of one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The store does not answer it.
    pub store_silent: Span,
    /// It does not run, while its clock goes on.
    pub frozen: Span,
    /// Nothing arrives from its upstream.
    pub cut_off: Span,
    /// It learns of new versions, but their documents arrive at the end of this time.
    pub only_announced: Span,
    /// Its clock goes forward by a step at a time, both in milliseconds. Only gateways without followers have it: the
    /// host clock steps by the length of a suspension, which passes for followers too.
    pub clock_step: Option<(u64, u64)>,
}

struct Read {
    started_at: Instant,
    started_ms: u64,
    ends_ms: u64,
    version: u64,
}

struct Notice {
    arrives_ms: u64,
    polled_at: Instant,
    as_of: Option<DocumentAsOf>,
    version: u64,
}

struct Gateway {
    faults: Faults,
    upstream: Option<usize>,
    /// Its clock at the start of the simulation.
    epoch: Instant,
    freshness: DocumentFreshness,
    newest_version: u64,
    active_version: u64,
    authority: KeyAuthority,
    read: Option<Read>,
    next_read_ms: u64,
    /// When its last poll was sent by its own clock, arrived by that of its upstream, and is due again.
    poll: Option<(Instant, Instant, u64)>,
    notices: Vec<Notice>,
    told: (u64, Option<Instant>),
}

/// What requests met in a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub sent: u64,
    pub lapsed: u64,
    pub unconfirmed: u64,
    pub unknown: u64,
}

pub struct Fleet {
    gateways: Vec<Gateway>,
    /// When each version was acknowledged; the first one is version 1. Version `v` contains the keys `v` and `v + 1`,
    /// and so revokes the key `v - 1`.
    acknowledged_ms: Vec<u64>,
    /// The keys of all versions, by number.
    keys: Vec<PresentedKey>,
    timings: DocumentTimings,
    rng: Pcg64Mcg,
    pub tally: Tally,
}

impl Fleet {
    pub fn new(seed: u64, faults: Vec<Faults>, acknowledged_ms: Vec<u64>) -> Self {
        let start = Instant::now();
        let lease = LeaseTimings::new(REVOCATION);
        let timings = DocumentTimings::new(CONFIG_DEADLINE.min(lease.confirm_within()));
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let gateway = |(i, faults): (usize, Faults)| {
            let rank = i / ZONES;
            Gateway {
                faults,
                upstream: (rank > 0).then(|| (rank - 1) / FANOUT * ZONES + i % ZONES),
                epoch: start + Duration::from_millis(rng.random_range(0..10_000_000)),
                freshness: DocumentFreshness::new(timings),
                newest_version: 0,
                active_version: 0,
                authority: KeyAuthority::new(leased()),
                read: None,
                next_read_ms: 0,
                poll: None,
                notices: Vec::new(),
                told: (0, None),
            }
        };
        let gateways = faults.into_iter().enumerate().map(gateway).collect();
        Self {
            gateways,
            keys: (0..acknowledged_ms.len() + 3)
                .map(|n| key(&n.to_string()))
                .collect(),
            acknowledged_ms,
            timings,
            rng,
            tally: Tally::default(),
        }
    }

    /// Whether a gateway has followers in a fleet of this size.
    pub fn has_followers(gateways: usize, i: usize) -> bool {
        let rank = i / ZONES;
        (rank * FANOUT + 1) * ZONES + i % ZONES < gateways
    }

    pub fn run(&mut self, length_ms: u64) {
        for t in (0..length_ms).step_by(TICK_MS as usize) {
            for i in 0..self.gateways.len() {
                if !self.gateways[i].faults.frozen.contains(t) {
                    self.apply_notices(t, i);
                    self.read(t, i);
                    self.poll(t, i);
                    self.serve(t, i);
                }
            }
        }
    }

    /// Newest version that was acknowledged before `t`; 0 if none was.
    fn stored_version(&self, t: u64) -> u64 {
        self.acknowledged_ms.iter().filter(|at| **at < t).count() as u64
    }

    fn apply_notices(&mut self, t: u64, i: usize) {
        let gateway = &mut self.gateways[i];
        let now = gateway.now(t);
        let is_due = |n: &Notice| n.arrives_ms <= t;
        let (due, later) = gateway.notices.drain(..).partition(is_due);
        gateway.notices = later;
        if gateway.faults.cut_off.contains(t) {
            return;
        }
        let due: Vec<Notice> = due;
        for notice in due {
            gateway.newest_version = gateway.newest_version.max(notice.version);
            if let Some(as_of) = notice.as_of {
                let freshness = &mut gateway.freshness;
                freshness.record_relayed(now, notice.polled_at, as_of);
            }
        }
        gateway.receive_document(t);
    }

    /// The first gateway of a zone checks the document at an interval; any other one reads it when it is stale.
    fn read(&mut self, t: u64, i: usize) {
        let stored = self.stored_version(t);
        let check_ms = self.timings.check_interval().as_millis() as u64;
        let gateway = &mut self.gateways[i];
        let now = gateway.now(t);
        if let Some(read) = gateway.read.take_if(|read| read.ends_ms <= t) {
            if gateway
                .faults
                .store_silent
                .overlaps(read.started_ms, read.ends_ms)
            {
                gateway.next_read_ms = t + RETRY_MS;
            } else {
                gateway.newest_version = gateway.newest_version.max(read.version);
                gateway.freshness.record_read(read.started_at);
                gateway.next_read_ms = read.started_ms + check_ms;
            }
            gateway.receive_document(t);
        }
        let is_stale = gateway.freshness.fresh_until().is_none_or(|at| at <= now);
        let is_due = t >= gateway.next_read_ms && gateway.upstream.is_none();
        let is_retried = is_stale && t + check_ms >= gateway.next_read_ms + RETRY_MS;
        if gateway.read.is_none() && (is_due || is_retried) {
            gateway.read = Some(Read {
                started_at: now,
                started_ms: t,
                ends_ms: t + self.rng.random_range(5..150),
                version: stored,
            });
        }
    }

    /// Polls the upstream, which tells of each change in the order of the last poll.
    fn poll(&mut self, t: u64, i: usize) {
        let Some(upstream) = self.gateways[i].upstream else {
            return;
        };
        let up = &self.gateways[upstream];
        if self.gateways[i].faults.cut_off.contains(t) || up.faults.frozen.contains(t) {
            return;
        }
        let (up_now, as_of) = (up.now(t), up.freshness.as_of());
        // What the upstream knows includes the document only once it is active there.
        let known = (up.newest_version, as_of);
        let delay = self.rng.random_range(1..120);
        let gateway = &mut self.gateways[i];
        let is_due = gateway.poll.is_none_or(|(_, _, due)| due <= t);
        if is_due {
            let polled_at = gateway.now(t);
            gateway.poll = Some((polled_at, up_now, t + POLL_INTERVAL_MS));
        }
        let Some((polled_at, received, _)) = gateway.poll else {
            return;
        };
        if gateway.told != known {
            gateway.told = known;
            gateway.notices.push(Notice {
                arrives_ms: t + delay,
                polled_at,
                as_of: as_of.map(|at| DocumentAsOf::new(received, at, 1)),
                version: known.0,
            });
        }
    }

    /// Sends requests with the keys of all versions around the newest one, and checks what becomes of them.
    fn serve(&mut self, t: u64, i: usize) {
        let stored = self.stored_version(t + 1);
        let gateway = &self.gateways[i];
        let now = gateway.now(t);
        for number in stored.saturating_sub(3).max(1)..=stored + 1 {
            let acknowledged = |version: u64| self.acknowledged_ms.get(version as usize - 1);
            let decided = gateway
                .authority
                .decide(now, false, &self.keys[number as usize]);
            match decided {
                Ok(_) => {
                    self.tally.sent += 1;
                    let revoked = acknowledged(number + 1);
                    let limit = revoked.map(|at| at + REVOCATION.as_millis() as u64);
                    assert!(
                        limit.is_none_or(|limit| t + TRANSIT_MS <= limit),
                        "gateway {i} sends with key {number}, revoked at {revoked:?}, at {t} ms"
                    );
                }
                Err(AccessRejection::LeaseLapsed) => self.tally.lapsed += 1,
                Err(AccessRejection::UnconfirmedKey) => self.tally.unconfirmed += 1,
                Err(AccessRejection::UnknownKey) => {
                    self.tally.unknown += 1;
                    let in_force_ms = CONFIG_DEADLINE.as_millis() as u64;
                    let since = acknowledged(number.saturating_sub(1).max(1));
                    let is_valid = stored <= number && number <= stored + 1;
                    let is_known = since.is_some_and(|at| at + in_force_ms < t);
                    assert!(
                        !(is_valid && is_known),
                        "gateway {i} finally rejects key {number}, valid since {since:?}, at {t} ms"
                    );
                }
                Err(_) => {}
            }
        }
        if gateway.has_path_lately(t) {
            let active = &self.keys[gateway.active_version as usize];
            let decided = gateway.authority.decide(now, false, active);
            assert!(
                decided.is_ok(),
                "gateway {i} does not serve at {t} ms: {decided:?} {:?}",
                gateway.faults
            );
        }
    }
}

impl Gateway {
    fn now(&self, t: u64) -> Instant {
        let step = self.faults.clock_step.filter(|(at, _)| *at <= t);
        self.epoch + Duration::from_millis(t + step.map_or(0, |(_, length)| length))
    }

    /// Makes the newest known document active, unless only its version has arrived.
    fn receive_document(&mut self, t: u64) {
        let is_received = !self.faults.only_announced.contains(t);
        if is_received && self.newest_version > self.active_version {
            let version = self.newest_version;
            let keys = [version.to_string(), (version + 1).to_string()];
            let north = organisation("north", 0, &[&keys[0], &keys[1]]);
            self.active_version = version;
            self.authority
                .activate(self.now(t), table(version, vec![north]));
        }
        self.authority.record_newest(NewestDocument {
            version: self.newest_version,
            as_of: self.freshness.as_of(),
        });
    }

    /// Whether the gateway has to serve: it had a path to the store within the time for which it serves without one,
    /// and has recovered from its other faults.
    fn has_path_lately(&self, t: u64) -> bool {
        let serve_ms = LeaseTimings::new(REVOCATION).serve_time().as_millis() as u64;
        let Faults {
            store_silent,
            frozen,
            only_announced,
            clock_step,
            ..
        } = self.faults;
        let settling = t.saturating_sub(SETTLE_MS);
        let silent_lately = store_silent.overlaps(settling, t);
        let is_silent_too_long = silent_lately && store_silent.from + serve_ms <= t;
        let is_announced_lately = only_announced.overlaps(settling, t);
        // Without the store or the newest document, the gateway does not recover from another fault.
        let mut since = settling;
        if silent_lately {
            since = since.min(store_silent.from.saturating_sub(SETTLE_MS));
        }
        if is_announced_lately {
            since = since.min(only_announced.from.saturating_sub(SETTLE_MS));
        }
        let is_stepped = clock_step.is_some_and(|(at, _)| (since..=t).contains(&at));
        let is_unheard = silent_lately && only_announced.overlaps(since, t);
        let has_fault = is_silent_too_long || is_stepped || is_unheard;
        t > 2 * SETTLE_MS && self.active_version > 0 && !has_fault && !frozen.overlaps(since, t)
    }
}
