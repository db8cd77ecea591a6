//! Which owners a gateway asks.
//!
//! Load pattern: hundreds of gateways ask eight owners, and one gateway may have a third of the requests. A gateway
//! asks its usual owner, which differs between gateways, while that has credit, and the others by what they have
//! said is left. So parts are used up evenly, although a part of a small organisation is a few requests. Owners that
//! have denied are asked again when they have credit, and those that do not answer are left out for a while.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    MAX_ASKS, QuotaAnswer, QuotaCall, QuotaGrant, QuotaOutcome, QuotaRejection, QuotaSettlement,
    SettledGrant, bounds::MAX_ARRIVAL_DELAY,
};

/// Time for which an owner that owns no part of an organisation's quota is not asked again for it: it may have
/// restarted just now.
const NO_PART_PAUSE: Duration = Duration::from_millis(300);
/// Time for which an owner that has not answered is not asked again.
const SILENCE_PAUSE: Duration = Duration::from_millis(1_500);
/// Shortest time for which an owner that has denied is not asked again, so that gateways do not all ask for each
/// request that becomes free.
const MIN_DENIAL_PAUSE: Duration = Duration::from_millis(30);
/// Longest time for which it is not asked again, whatever it has said.
const MAX_DENIAL_PAUSE: Duration = Duration::from_secs(60);
/// Age up to which it counts how much an owner had left, less and less: about the time for which its grants count. With
/// 1 s, gateways with few requests used up the small part of their usual owner.
const MAX_LEFT_AGE: Duration = Duration::from_secs(6);
/// Part that an owner is assumed to have left if it has not said so lately.
const ASSUMED_LEFT: f64 = 0.5;
/// How much more the others have to have left to be asked before the usual owner.
const USUAL_OWNER_BONUS: f64 = 0.25;
/// Time for which news of arrivals wait for more for the same owner.
const SETTLEMENT_DELAY: Duration = Duration::from_millis(1_500);
/// News of arrivals for one owner that are sent without waiting for more.
const MAX_SETTLED: usize = 64;
/// Seed of the hash that chooses the usual owner.
const USUAL_OWNER_SEED: u64 = 7;

/// What a gateway knows of one owner of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct KnownOwner {
    denied_until: Option<Instant>,
    /// Until when it is left out because it has said that it owns no part.
    without_part_until: Option<Instant>,
    /// Part that it had left, and when it said so.
    left: Option<(f64, Instant)>,
}

/// What a gateway knows of owners.
#[derive(Clone, Debug, Default)]
pub(super) struct Asker {
    known: HashMap<Arc<str>, HashMap<Arc<str>, KnownOwner>>,
    silent_until: HashMap<Arc<str>, Instant>,
    settled: HashMap<Arc<str>, (QuotaSettlement, Instant)>,
}

impl Asker {
    /// Chooses the owner to ask next, out of `owners`.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        own: &Arc<str>,
        owners: &[Arc<str>],
        call: &QuotaCall,
    ) -> Result<Arc<str>, QuotaRejection> {
        let is_asked = |host: &&Arc<str>| call.asked.contains(host);
        let may_ask = |host: &&Arc<str>| {
            !is_asked(host) && !self.is_silent(now, host) && !self.is_denied(now, call, host)
        };
        let usual = usual_owner(own, &call.organisation, owners);
        let score = |host: &Arc<str>| {
            let bonus = if Some(host) == usual {
                USUAL_OWNER_BONUS
            } else {
                0.0
            };
            self.left(now, call, host) + bonus
        };
        let best = owners.iter().filter(may_ask).max_by(|a, b| {
            let by_score = score(a).total_cmp(&score(b));
            by_score.then_with(|| preference(own, a).cmp(&preference(own, b)))
        });
        match best {
            Some(host) if call.asked.len() < MAX_ASKS => Ok(Arc::clone(host)),
            _ => Err(self.rejection(now, owners, call)),
        }
    }

    fn rejection(&self, now: Instant, owners: &[Arc<str>], call: &QuotaCall) -> QuotaRejection {
        let known = self.known.get(&call.organisation);
        let denied = owners
            .iter()
            .filter_map(|host| known?.get(host)?.denied_until);
        let denied = denied.filter(|until| *until > now);
        match denied.chain(call.free_at).min() {
            Some(free_at) => QuotaRejection::Exhausted {
                retry_after: free_at.saturating_duration_since(now).max(MIN_DENIAL_PAUSE),
            },
            None => QuotaRejection::NoOwner,
        }
    }

    /// Records what an owner has answered; `None` if it has not.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        host: &Arc<str>,
        call: &mut QuotaCall,
        answer: Option<QuotaAnswer>,
    ) {
        let owners = self
            .known
            .entry(Arc::clone(&call.organisation))
            .or_default();
        let known = owners.entry(Arc::clone(host)).or_default();
        match answer {
            Some(QuotaAnswer::Granted { left, .. }) => {
                known.left = Some((f64::from(left) / f64::from(u8::MAX), now));
                known.denied_until = None;
            }
            Some(QuotaAnswer::Denied { free_in }) => {
                let free_at = now + free_in.min(MAX_DENIAL_PAUSE);
                known.denied_until = Some(free_at.max(now + MIN_DENIAL_PAUSE));
                known.left = Some((0.0, now));
                call.free_at = Some(call.free_at.map_or(free_at, |at| at.min(free_at)));
            }
            Some(QuotaAnswer::NoPart) => known.without_part_until = Some(now + NO_PART_PAUSE),
            None => {
                self.silent_until
                    .insert(Arc::clone(host), now + SILENCE_PAUSE);
            }
        }
    }

    /// Adds what became of a grant of another gateway to the news for it. Returns them when they are to be sent.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        grant: &QuotaGrant,
        outcome: QuotaOutcome,
    ) -> Option<QuotaSettlement> {
        let arrived_within_ms = match outcome {
            QuotaOutcome::NotRun => None,
            QuotaOutcome::Arrived(within)
                if grant.needs_settlement && within < MAX_ARRIVAL_DELAY =>
            {
                Some(within.as_millis() as u16 + 1)
            }
            QuotaOutcome::Arrived(_) | QuotaOutcome::Unknown => return None,
        };
        let entry = self.settled.entry(Arc::clone(&grant.owner));
        let (settlement, since) = entry.or_insert_with(|| (QuotaSettlement::default(), now));
        settlement.grants.push(SettledGrant {
            grant: grant.id,
            arrived_within_ms,
        });
        let is_due = arrived_within_ms.is_none()
            || settlement.grants.len() >= MAX_SETTLED
            || now.saturating_duration_since(*since) >= SETTLEMENT_DELAY;
        let taken = is_due.then(|| self.settled.remove(&grant.owner));
        taken.flatten().map(|(settlement, _)| settlement)
    }

    /// Forgets owners and organisations that are not known any more.
    pub(super) fn retain_hosts(&mut self, now: Instant, is_known: impl Fn(&Arc<str>) -> bool) {
        for owners in self.known.values_mut() {
            let is_recent = |k: &KnownOwner| {
                k.denied_until
                    .max(k.without_part_until)
                    .is_some_and(|until| until > now)
                    || k.left.is_some_and(|(_, at)| now < at + MAX_LEFT_AGE)
            };
            owners.retain(|host, known| is_known(host) && is_recent(known));
        }
        self.known.retain(|_, owners| !owners.is_empty());
        self.silent_until.retain(|_, until| *until > now);
        self.settled.retain(|host, _| is_known(host));
    }

    fn is_silent(&self, now: Instant, host: &Arc<str>) -> bool {
        self.silent_until
            .get(host)
            .is_some_and(|until| *until > now)
    }

    fn is_denied(&self, now: Instant, call: &QuotaCall, host: &Arc<str>) -> bool {
        let known = self.known_owner(call, host);
        let until = known.and_then(|k| k.denied_until.max(k.without_part_until));
        until.is_some_and(|until| until > now)
    }

    fn left(&self, now: Instant, call: &QuotaCall, host: &Arc<str>) -> f64 {
        let known = self.known_owner(call, host).and_then(|k| k.left);
        known.map_or(ASSUMED_LEFT, |(left, at)| {
            let age = now.saturating_duration_since(at);
            let aged = age.div_duration_f64(MAX_LEFT_AGE).min(1.0);
            left + (ASSUMED_LEFT - left) * aged
        })
    }

    fn known_owner(&self, call: &QuotaCall, host: &Arc<str>) -> Option<&KnownOwner> {
        self.known.get(&call.organisation)?.get(host)
    }
}

/// The owner that a gateway asks first: itself, or else one by a hash.
fn usual_owner<'a>(
    own: &Arc<str>,
    organisation: &str,
    owners: &'a [Arc<str>],
) -> Option<&'a Arc<str>> {
    let seed = xxh3_64_with_seed(organisation.as_bytes(), USUAL_OWNER_SEED);
    owners.iter().find(|host| *host == own).or_else(|| {
        let count = owners.len().max(1) as u64;
        owners.get((xxh3_64_with_seed(own.as_bytes(), seed) % count) as usize)
    })
}

/// Order of owners with the same amount left, which differs between gateways.
fn preference(own: &Arc<str>, host: &Arc<str>) -> u64 {
    let seed = xxh3_64_with_seed(own.as_bytes(), USUAL_OWNER_SEED);
    xxh3_64_with_seed(host.as_bytes(), seed)
}
