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
        ASK_TIMEOUT, DEFAULT_QUOTA_WINDOW, LIST_REFRESH, QuotaAnswer, QuotaBounds, QuotaCall,
        QuotaGrant, QuotaOutcome, QuotaRejection, QuotaSettlement, QuotaStep, Quotas, SettledGrant,
    },
    rate_limit::{ShareStart, SharingGateways},
    traffic::{Organisation, RequestQuota},
};

/// Time from the start of all gateways until they own their parts and clients come.
pub(super) const WARM_UP: Duration = Duration::from_secs(6);

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

/// Time that an endpoint takes for a request, in milliseconds.
const SERVICE_MS: u64 = 100;

enum Event {
    Request(usize),
    Question {
        from: usize,
        to: usize,
        number: u64,
    },
    Answer {
        to: usize,
        from: usize,
        number: u64,
        answer: QuotaAnswer,
    },
    Timeout {
        gateway: usize,
        number: u64,
    },
    Send {
        gateway: usize,
        incarnation: u32,
        grant: QuotaGrant,
    },
    Finish {
        gateway: usize,
        incarnation: u32,
        grant: QuotaGrant,
    },
    Settlement {
        to: usize,
        settlement: QuotaSettlement,
    },
    ReadList(usize),
}

pub(super) struct SimulatedGateway {
    quotas: Quotas,
    host: Arc<str>,
    share_start: ShareStart,
    /// Attempts that wait for an answer.
    waiting: BTreeMap<u64, QuotaCall>,
    /// What it knows of the quota.
    pub(super) quota: RequestQuota,
    incarnation: u32,
    pub(super) frozen_until: Instant,
    /// Until when no datagrams pass to or from it.
    pub(super) cut_off_until: Instant,
    /// Until when it cannot read the list of gateways.
    pub(super) storeless_until: Instant,
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
    pub(super) delays: Delays,
    pub(super) rng: Pcg64Mcg,
    pub(super) counts: Counts,
    /// Times at which requests arrived at endpoints.
    pub(super) arrivals: Vec<Instant>,
    pub(super) bounds: QuotaBounds,
    started_at: Instant,
    schedule: BTreeMap<(Instant, u64), Event>,
    next_number: u64,
}

fn host(gateway: usize) -> Arc<str> {
    format!("gateway-{gateway}").into()
}

fn organisation(quota: RequestQuota) -> Organisation {
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
        }
    }

    /// Replaces the process of a gateway by one that starts now.
    pub(super) fn restart(&mut self, gateway: usize) {
        let (host, quota, incarnation) = {
            let old = &self.gateways[gateway];
            (Arc::clone(&old.host), old.quota, old.incarnation + 1)
        };
        self.gateways[gateway] = self.new_gateway(host, quota, false, incarnation);
        self.schedule_in(Duration::ZERO, Event::ReadList(gateway));
    }

    /// Adds a gateway that joins the others.
    pub(super) fn join(&mut self, quota: RequestQuota) {
        let gateway = self.gateways.len();
        self.registered.push(host(gateway));
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

    fn schedule_in(&mut self, delay: Duration, event: Event) {
        self.next_number += 1;
        let key = (self.now + delay, self.next_number);
        self.schedule.insert(key, event);
    }

    fn random_ms(&mut self, max: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=max * 1_000))
    }

    /// Delay of a request, up to `max` milliseconds.
    fn request_delay(&mut self, max: u64) -> Duration {
        const LATE: std::ops::Range<u64> = 3..7;
        const PERIOD_S: u64 = 12;
        let second = (self.now - self.started_at).as_secs() % PERIOD_S;
        match (self.delays.is_bunched, LATE.contains(&second)) {
            (false, _) => self.random_ms(max),
            (true, true) => Duration::from_millis(max),
            (true, false) => self.random_ms(3),
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, event: Event) {
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

    fn handle(&mut self, event: Event) {
        let gateway = match &event {
            Event::Request(gateway) | Event::ReadList(gateway) => *gateway,
            Event::Question { to, .. }
            | Event::Answer { to, .. }
            | Event::Settlement { to, .. } => *to,
            Event::Timeout { gateway, .. }
            | Event::Send { gateway, .. }
            | Event::Finish { gateway, .. } => *gateway,
        };
        let frozen_until = self.gateways[gateway].frozen_until;
        if frozen_until > self.now {
            self.schedule_in(frozen_until - self.now, event);
            return;
        }
        let now = self.now;
        match event {
            Event::Request(gateway) => {
                self.counts.requests += 1;
                let g = &mut self.gateways[gateway];
                let organisation = organisation(g.quota);
                if let Some(rejection) = g.quotas.is_rejected_unasked(now, &organisation) {
                    return self.count_rejection(rejection);
                }
                let call = g.quotas.start_call(now, &organisation);
                self.step(gateway, call.expect("a quota"));
            }
            Event::Question { from, to, number } => {
                let g = &mut self.gateways[to];
                let answer = g.quotas.answer(now, "north", &g.quota);
                let answer = Event::Answer {
                    to: from,
                    from: to,
                    number,
                    answer,
                };
                self.send_datagram(to, from, answer);
            }
            Event::Answer {
                to,
                from,
                number,
                answer,
            } => match self.gateways[to].waiting.remove(&number) {
                Some(call) => self.record_answer(to, call, Some(answer)),
                None => self.give_back(to, from, answer),
            },
            Event::Timeout { gateway, number } => {
                if let Some(call) = self.gateways[gateway].waiting.remove(&number) {
                    self.record_answer(gateway, call, None);
                }
            }
            Event::Send {
                gateway,
                incarnation,
                grant,
            } => self.send(gateway, incarnation, grant),
            Event::Finish {
                gateway,
                incarnation,
                grant,
            } => {
                let outcome = QuotaOutcome::Arrived(grant.age(now));
                self.finish(gateway, incarnation, &grant, outcome);
            }
            Event::Settlement { to, settlement } => self.gateways[to].quotas.settle(&settlement),
            Event::ReadList(gateway) => self.read_list(gateway),
        }
    }

    fn step(&mut self, gateway: usize, mut call: QuotaCall) {
        let now = self.now;
        let g = &mut self.gateways[gateway];
        match g.quotas.next_step(now, &mut call) {
            QuotaStep::Ask(host) => {
                let to = self.gateways.iter().position(|g| g.host == host);
                let to = to.expect("a gateway of the fleet");
                self.next_number += 1;
                let number = self.next_number;
                self.gateways[gateway].waiting.insert(number, call);
                self.counts.questions += 1;
                let question = Event::Question {
                    from: gateway,
                    to,
                    number,
                };
                self.send_datagram(gateway, to, question);
                self.schedule_in(ASK_TIMEOUT, Event::Timeout { gateway, number });
            }
            QuotaStep::Granted(grant) => self.use_grant(gateway, grant),
            QuotaStep::Rejected(rejection) => self.count_rejection(rejection),
        }
    }

    fn record_answer(&mut self, gateway: usize, mut call: QuotaCall, answer: Option<QuotaAnswer>) {
        let quotas = &mut self.gateways[gateway].quotas;
        match quotas.record_answer(self.now, &mut call, answer) {
            Some(grant) => self.use_grant(gateway, grant),
            None => self.step(gateway, call),
        }
    }

    /// Gives back a grant that came too late.
    fn give_back(&mut self, from: usize, to: usize, answer: QuotaAnswer) {
        if let QuotaAnswer::Granted { grant, .. } = answer {
            let returned = SettledGrant {
                grant,
                arrived_within_ms: None,
            };
            let settlement = QuotaSettlement {
                grants: vec![returned],
            };
            self.send_datagram(from, to, Event::Settlement { to, settlement });
        }
    }

    fn use_grant(&mut self, gateway: usize, grant: QuotaGrant) {
        let incarnation = self.gateways[gateway].incarnation;
        let delay = self.request_delay(self.delays.send_ms);
        let send = Event::Send {
            gateway,
            incarnation,
            grant,
        };
        self.schedule_in(delay, send);
    }

    /// Sends a granted request unless its grant is void, or its process has ended.
    fn send(&mut self, gateway: usize, incarnation: u32, grant: QuotaGrant) {
        if self.gateways[gateway].incarnation != incarnation {
            return;
        }
        if !grant.is_valid(self.now) {
            return self.finish(gateway, incarnation, &grant, QuotaOutcome::NotRun);
        }
        let transit = self.request_delay(self.delays.transit_ms);
        self.arrivals.push(self.now + transit);
        let finish = Event::Finish {
            gateway,
            incarnation,
            grant,
        };
        self.schedule_in(transit + Duration::from_millis(SERVICE_MS), finish);
    }

    fn finish(
        &mut self,
        gateway: usize,
        incarnation: u32,
        grant: &QuotaGrant,
        outcome: QuotaOutcome,
    ) {
        let g = &mut self.gateways[gateway];
        if g.incarnation != incarnation {
            return;
        }
        if let Some((owner, settlement)) = g.quotas.finish(self.now, grant, outcome) {
            let to = self.gateways.iter().position(|g| g.host == owner);
            let to = to.expect("a gateway of the fleet");
            self.send_datagram(gateway, to, Event::Settlement { to, settlement });
        }
    }

    fn read_list(&mut self, gateway: usize) {
        let now = self.now;
        let pause = LIST_REFRESH + self.random_ms(1_000);
        let hosts = self.registered.clone();
        let join_delay = self.bounds.join_delay();
        let g = &mut self.gateways[gateway];
        if g.storeless_until <= now {
            g.share_start.record_listed(now);
            let usable_from = g.share_start.usable_after(join_delay).expect("listed");
            let list = SharingGateways::new(Arc::clone(&g.host), hosts, now, usable_from);
            g.quotas.record_list(now, &list);
        }
        self.schedule_in(pause, Event::ReadList(gateway));
    }

    fn count_rejection(&mut self, rejection: QuotaRejection) {
        match rejection {
            QuotaRejection::Exhausted { .. } => self.counts.exhausted += 1,
            QuotaRejection::NoOwner => self.counts.no_owner += 1,
        }
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
