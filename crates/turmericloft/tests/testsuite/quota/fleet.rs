//! A simulated fleet of gateways that serve one organisation with a quota. Each gateway has the decisions of a real
//! one; datagrams and requests arrive after delays that a seeded generator draws.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    quota::{
        DEFAULT_QUOTA_WINDOW, EarlierRecords, LIST_REFRESH, QuotaBounds, QuotaCall, Quotas,
        RestartRecord, RestartWrite,
    },
    rate_limit::{ShareStart, SharingGateways},
    traffic::{Organisation, RequestQuota},
};

use super::events::Event;

/// Time from the start of all gateways until they own their parts and clients come.
pub(super) const WARM_UP: Duration = Duration::from_secs(6);

/// Part of the writes that are not answered while the store loses answers.
const LATE_WRITES: f64 = 0.5;
/// Time after which such a write is executed.
const LATE_BY_MS: std::ops::Range<u64> = 1_000..6_000;
/// Time from a write that is not answered to the next one.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(1_800);

/// Longest delays, in milliseconds.
#[derive(Clone, Copy)]
pub(super) struct Delays {
    /// Of a datagram.
    pub(super) datagram_ms: u64,
    /// From a grant until its request is sent.
    pub(super) send_ms: u64,
    /// From the sending of a request until it arrives.
    pub(super) transit_ms: u64,
    /// Part of the datagrams that are lost.
    pub(super) loss: f64,
    /// Whether requests are sent and arrive as late as possible for some seconds and at once for some, so that those
    /// of more than a window arrive in one.
    pub(super) is_bunched: bool,
}

impl Delays {
    /// Between hosts without faults.
    pub(super) const USUAL: Self = Self {
        datagram_ms: 3,
        send_ms: 3,
        transit_ms: 3,
        loss: 0.0,
        is_bunched: false,
    };
    /// The longest ones while requests are late, in turn with short ones.
    pub(super) const BUNCHED: Self = Self {
        datagram_ms: 10,
        send_ms: 375,
        transit_ms: 599,
        loss: 0.0,
        is_bunched: true,
    };
    /// The longest ones, with one datagram in ten lost and some answers later than they are awaited.
    pub(super) const WORST: Self = Self {
        datagram_ms: 40,
        send_ms: 450,
        transit_ms: 599,
        loss: 0.1,
        is_bunched: false,
    };
}

pub(super) struct SimulatedGateway {
    pub(super) quotas: Quotas,
    pub(super) host: Arc<str>,
    share_start: ShareStart,
    /// Attempts that wait for an answer.
    pub(super) waiting: BTreeMap<u64, QuotaCall>,
    /// What it knows of the quota.
    pub(super) quota: RequestQuota,
    pub(super) incarnation: u32,
    pub(super) frozen_until: Instant,
    /// Until when no datagrams pass to or from it.
    pub(super) cut_off_until: Instant,
    /// Until when it cannot read the list of gateways.
    pub(super) storeless_until: Instant,
    /// Whether it was started with the whole system, so that every list has it.
    is_founding: bool,
    /// Records of its host in the store, by generation.
    stored: BTreeMap<u64, RestartRecord>,
    /// Until when the store may lose the answer to a write and execute it late.
    pub(super) late_writes_until: Instant,
    /// When it writes again after a write that was not answered.
    writes_again_at: Instant,
}

/// What became of the requests of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) requests: u64,
    pub(super) exhausted: u64,
    pub(super) no_owner: u64,
    /// Questions to other gateways.
    pub(super) questions: u64,
    pub(super) datagrams: u64,
}

pub(super) struct Fleet {
    pub(super) now: Instant,
    pub(super) gateways: Vec<SimulatedGateway>,
    pub(super) registered: Vec<Arc<str>>,
    /// Entries of gateways in the topic, valid or expired.
    entries: usize,
    pub(super) delays: Delays,
    pub(super) rng: Pcg64Mcg,
    pub(super) counts: Counts,
    /// Times at which requests arrived at endpoints.
    pub(super) arrivals: Vec<Instant>,
    pub(super) bounds: QuotaBounds,
    started_at: Instant,
    schedule: BTreeMap<(Instant, u64), Event>,
    pub(super) next_number: u64,
}

fn host(gateway: usize) -> Arc<str> {
    format!("gateway-{gateway}").into()
}

pub(super) fn organisation(quota: RequestQuota) -> Organisation {
    Organisation {
        name: "north".into(),
        keys: Vec::new(),
        rank: 0,
        quota: Some(quota),
    }
}

impl Fleet {
    /// Starts all gateways together and for the first time, and runs them for [`WARM_UP`].
    pub(super) fn start(gateways: usize, quota: RequestQuota, delays: Delays, seed: u64) -> Self {
        Self::start_with(QuotaBounds::default(), gateways, quota, delays, seed)
    }

    /// Like [`start`](Self::start), with gateways that have these bounds.
    pub(super) fn start_with(
        bounds: QuotaBounds,
        gateways: usize,
        quota: RequestQuota,
        delays: Delays,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            started_at: now,
            gateways: Vec::new(),
            registered: (0..gateways).map(host).collect(),
            entries: gateways,
            delays,
            rng: Pcg64Mcg::seed_from_u64(seed),
            counts: Counts::default(),
            arrivals: Vec::new(),
            bounds,
            schedule: BTreeMap::new(),
            next_number: 0,
        };
        for gateway in 0..gateways {
            let new = fleet.new_gateway(host(gateway), quota, true, 0);
            fleet.gateways.push(new);
            fleet.schedule_in(Duration::ZERO, Event::ReadList(gateway));
            let complete = Duration::from_millis(4_000 + fleet.rng.random_range(0..500));
            fleet.schedule_in(complete, Event::ReadList(gateway));
        }
        fleet.run_until(fleet.now + WARM_UP);
        fleet
    }

    fn new_gateway(
        &mut self,
        host: Arc<str>,
        quota: RequestQuota,
        is_bootstrap: bool,
        incarnation: u32,
    ) -> SimulatedGateway {
        SimulatedGateway {
            quotas: Quotas::new(self.bounds, Arc::clone(&host), self.rng.random()),
            host,
            share_start: ShareStart::new(self.now, is_bootstrap),
            waiting: BTreeMap::new(),
            quota,
            incarnation,
            frozen_until: self.now,
            cut_off_until: self.now,
            storeless_until: self.now,
            is_founding: is_bootstrap,
            stored: BTreeMap::new(),
            late_writes_until: self.now,
            writes_again_at: self.now,
        }
    }

    /// Replaces the process of a gateway by one that starts now.
    pub(super) fn restart(&mut self, gateway: usize) {
        let old = &self.gateways[gateway];
        let (host, quota, incarnation) = (Arc::clone(&old.host), old.quota, old.incarnation + 1);
        let (is_founding, stored) = (old.is_founding, old.stored.clone());
        let late_writes_until = old.late_writes_until;
        let mut restarted = self.new_gateway(host, quota, false, incarnation);
        restarted.quotas.record_restart(self.now);
        self.gateways[gateway] = SimulatedGateway {
            is_founding,
            stored,
            late_writes_until,
            ..restarted
        };
        self.schedule_in(Duration::ZERO, Event::ReadList(gateway));
    }

    /// Adds a gateway that joins the others.
    pub(super) fn join(&mut self, quota: RequestQuota) {
        let gateway = self.gateways.len();
        self.registered.push(host(gateway));
        self.entries += 1;
        let new = self.new_gateway(host(gateway), quota, false, 0);
        self.gateways.push(new);
        self.schedule_in(Duration::ZERO, Event::ReadList(gateway));
    }

    /// Sends one request of the organisation to a gateway.
    pub(super) fn request(&mut self, gateway: usize) {
        self.schedule_in(Duration::ZERO, Event::Request(gateway));
    }

    /// Runs the fleet until `until`.
    pub(super) fn run_until(&mut self, until: Instant) {
        while let Some(entry) = self.schedule.first_entry() {
            if entry.key().0 > until {
                break;
            }
            self.now = self.now.max(entry.key().0);
            let event = entry.remove();
            self.handle(event);
        }
        self.now = until;
    }

    pub(super) fn schedule_in(&mut self, delay: Duration, event: Event) {
        self.next_number += 1;
        let key = (self.now + delay, self.next_number);
        self.schedule.insert(key, event);
    }

    pub(super) fn random_ms(&mut self, max: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=max * 1_000))
    }

    /// Delay of a request, up to `max` milliseconds.
    pub(super) fn request_delay(&mut self, max: u64) -> Duration {
        const LATE: std::ops::Range<u64> = 3..7;
        const PERIOD_S: u64 = 12;
        let second = (self.now - self.started_at).as_secs() % PERIOD_S;
        match (self.delays.is_bunched, LATE.contains(&second)) {
            (false, _) => self.random_ms(max),
            (true, true) => Duration::from_millis(max),
            (true, false) => self.random_ms(3),
        }
    }

    pub(super) fn send_datagram(&mut self, from: usize, to: usize, event: Event) {
        self.counts.datagrams += 1;
        let is_cut = |g: &SimulatedGateway| g.cut_off_until > self.now;
        if is_cut(&self.gateways[from]) || is_cut(&self.gateways[to]) {
            return;
        }
        if self.delays.loss > 0.0 && self.rng.random_bool(self.delays.loss) {
            return;
        }
        let delay = self.random_ms(self.delays.datagram_ms);
        self.schedule_in(delay, event);
    }

    pub(super) fn read_list(&mut self, gateway: usize) {
        let now = self.now;
        let pause = LIST_REFRESH + self.random_ms(1_000);
        let hosts = self.registered.clone();
        let join_delay = self.bounds.join_delay();
        let g = &mut self.gateways[gateway];
        if g.storeless_until <= now {
            g.share_start.record_listed(now);
            // Entries that are missing have expired: they are in the topic still.
            let is_complete = hosts.len() == self.entries;
            let usable_from = match g.is_founding && g.incarnation > 0 && is_complete {
                true => g.share_start.started_at(),
                false => g.share_start.usable_after(join_delay).expect("listed"),
            };
            let list = SharingGateways::new(Arc::clone(&g.host), hosts, now, usable_from);
            g.quotas.record_list(now, &list);
            if g.quotas.needs_restart_record() {
                let mut earlier = EarlierRecords::default();
                for (generation, record) in &g.stored {
                    earlier.add(Some(*generation), record.clone());
                }
                g.quotas.record_before_restart(now, &earlier);
            }
        }
        self.schedule_in(pause, Event::ReadList(gateway));
    }

    /// Writes the record of a gateway to the store if it has changed.
    pub(super) fn write_record(&mut self, gateway: usize) {
        let now = self.now;
        let g = &mut self.gateways[gateway];
        if g.storeless_until > now || g.writes_again_at > now {
            return;
        }
        let unix_ms = (now - self.started_at).as_millis() as u64;
        let Some(write) = g.quotas.start_restart_write(now, unix_ms) else {
            return;
        };
        if g.late_writes_until > now && self.rng.random_bool(LATE_WRITES) {
            g.quotas.record_restart_write_unconfirmed();
            g.writes_again_at = now + WRITE_RETRY_DELAY;
            let late = Duration::from_millis(self.rng.random_range(LATE_BY_MS));
            self.schedule_in(late, Event::LandWrite { gateway, write });
            return;
        }
        g.quotas.record_restart_write_confirmed(write.clone());
        self.land_write(gateway, write);
    }

    /// Executes a write, which may not have been answered.
    pub(super) fn land_write(&mut self, gateway: usize, write: RestartWrite) {
        let stored = &mut self.gateways[gateway].stored;
        stored.insert(write.generation, write.record);
        stored.retain(|generation, _| !write.superseded.contains(generation));
    }

    /// Most requests that arrived in any window from `since` on.
    pub(super) fn most_arrivals(&self, since: Instant) -> usize {
        let mut arrivals: Vec<_> = self
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= since)
            .collect();
        arrivals.sort_unstable();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in arrivals.iter().enumerate() {
            while arrivals[first] + DEFAULT_QUOTA_WINDOW < *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Requests that may arrive in a window.
    pub(super) fn allowance(&self, quota: &RequestQuota) -> usize {
        self.bounds.allowance(quota) as usize
    }
}
