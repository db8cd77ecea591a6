//! Choice of the gateways to which requests are handed over, and what may be sent again.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    handover::{
        AttemptGrant, HandoverEnd, HandoverProgress, HandoverTry, HelperChoice, HelperRefusal,
        MAX_HELPED, MAX_HELPERS, check_help,
    },
    relay::RelayMember,
};

/// A request that may be sent to three endpoints and has not run.
const THREE: AttemptGrant = AttemptGrant {
    attempts: 3,
    is_retry: false,
};

/// Gateways in three zones.
fn members(count: usize) -> Vec<RelayMember> {
    let member = |i: usize| RelayMember {
        host: format!("g{i}").into(),
        zone: ["a", "b", "c"][i % 3].into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        datagram_port: None,
        link_mbps: 1_000,
    };
    (0..count).map(member).collect()
}

fn choice(own: &RelayMember, seed: u64) -> HelperChoice {
    let (host, zone) = (Arc::clone(&own.host), Arc::clone(&own.zone));
    HelperChoice::new(host, zone, Pcg64Mcg::seed_from_u64(seed))
}

/// Plays requests of cut off gateways at 9 a second each for ten seconds. Returns the part that found no helper
/// and the most requests that one helper got, compared with the mean.
fn play(count: usize, seed: u64, is_cut_off: impl Fn(usize) -> bool) -> (f64, f64) {
    let members = members(count);
    let start = Instant::now();
    let mut got: HashMap<Arc<str>, usize> = HashMap::new();
    let (mut unserved, mut all) = (0, 0);
    for (i, own) in members.iter().enumerate().filter(|(i, _)| is_cut_off(*i)) {
        let mut choice = choice(own, seed * 1_000 + i as u64);
        for n in 0..90 {
            let now = start + Duration::from_millis(110) * n;
            let mut progress = HandoverProgress::new(false, now + Duration::from_secs(2), THREE);
            let mut is_served = false;
            while !is_served && progress.next_try(now).is_some() {
                let Some(helper) = choice.choose(now, &members, progress.tried()) else {
                    break;
                };
                let i: usize = helper.host[1..].parse().expect("a number");
                if is_cut_off(i) {
                    choice.record_refusal(now, &helper, HelperRefusal::CutOff);
                    progress.record(helper.host, HandoverTry::Refused(HelperRefusal::CutOff));
                } else {
                    choice.record_served(&helper);
                    *got.entry(helper.host).or_default() += 1;
                    is_served = true;
                }
            }
            all += 1;
            unserved += usize::from(!is_served);
        }
    }
    let helpers = (0..count).filter(|i| !is_cut_off(*i)).count();
    let mean = (all - unserved) as f64 / helpers as f64;
    let most = got.values().copied().max().unwrap_or(0) as f64;
    (unserved as f64 / all as f64, most / mean)
}

/// Requests of a third of the gateways, or of a whole zone, reach helpers, and no helper gets far more than the
/// others.
#[test]
fn requests_of_cut_off_gateways_spread_over_the_others() {
    for count in [17, 99, 230, 300] {
        for seed in 0..2 {
            let (unserved, most) = play(count, seed, |i| i.is_multiple_of(3));
            assert!(unserved <= 0.02, "zone, {count}, seed {seed}: {unserved}");
            assert!(most <= 2.0, "zone, {count}, seed {seed}: {most}");
            let (unserved, most) = play(count, seed, |i| (i / 3).is_multiple_of(3));
            assert!(unserved <= 0.02, "third, {count}, seed {seed}: {unserved}");
            assert!(most <= 3.0, "third, {count}, seed {seed}: {most}");
        }
    }
}

/// Bytes between zones are priced, so a neighbour that reaches endpoints is used first.
#[test]
fn helper_of_the_own_zone_comes_first() {
    let members = members(30);
    let mut choice = choice(&members[0], 1);
    for _ in 0..100 {
        let helper = choice
            .choose(Instant::now(), &members, &[])
            .expect("a helper");
        assert_eq!(&*helper.zone, "a");
        assert_ne!(helper.host, members[0].host);
        choice.record_served(&helper);
    }
}

/// A helper that rejects a request would reject the next one too.
#[test]
fn helper_that_rejects_or_fails_is_left_out_for_a_second() {
    let members: Vec<_> = members(6).into_iter().filter(|m| &*m.zone == "a").collect();
    let now = Instant::now();
    let mut choice = choice(&members[0], 1);
    let helper = choice.choose(now, &members, &[]).expect("a helper");
    choice.record_refusal(now, &helper, HelperRefusal::Busy);
    let soon = now + Duration::from_millis(999);
    assert_eq!(choice.choose(soon, &members, &[]), None);
    let later = now + Duration::from_secs(1);
    assert_eq!(choice.choose(later, &members, &[]), Some(helper.clone()));
    choice.record_failure(later, &helper);
    assert_eq!(choice.choose(later, &members, &[]), None);
}

/// Helpers that are left out as they are busy reach endpoints: a gateway that is cut off must not send the request itself.
#[test]
fn request_is_rejected_while_all_helpers_are_left_out_as_busy() {
    let members = members(3);
    let now = Instant::now();
    let mut choice = choice(&members[0], 1);
    for _ in 0..2 {
        let helper = choice.choose(now, &members, &[]).expect("a helper");
        choice.record_refusal(now, &helper, HelperRefusal::Busy);
    }
    assert_eq!(choice.choose(now, &members, &[]), None);
    assert!(choice.has_busy(now));
    let mut progress = HandoverProgress::new(true, now + Duration::from_secs(1), THREE);
    progress.record_busy();
    assert_eq!(progress.end(), HandoverEnd::Busy);
    assert!(!choice.has_busy(now + Duration::from_secs(1)));
    // One that has failed since tells nothing.
    let later = now + Duration::from_secs(1);
    for _ in 0..2 {
        let helper = choice.choose(later, &members, &[]).expect("a helper");
        choice.record_failure(later, &helper);
    }
    assert!(!choice.has_busy(later));
}

/// A request that may have run at a helper runs twice if it is sent again.
#[test]
fn request_that_may_have_run_is_sent_again_only_if_it_is_idempotent() {
    let now = Instant::now();
    for is_idempotent in [false, true] {
        for end in [
            HandoverTry::Broken,
            HandoverTry::Silent,
            HandoverTry::TimedOut,
        ] {
            let mut progress =
                HandoverProgress::new(is_idempotent, now + Duration::from_secs(1), THREE);
            progress.record("g1".into(), end);
            assert_eq!(progress.next_try(now).is_some(), is_idempotent, "{end:?}");
            let expected = match end {
                HandoverTry::Silent | HandoverTry::TimedOut => HandoverEnd::TimedOut,
                _ => HandoverEnd::Broken,
            };
            assert_eq!(progress.end(), expected);
            // A later refusal does not undo that.
            progress.record("g2".into(), HandoverTry::Refused(HelperRefusal::Busy));
            assert_eq!(progress.end(), expected);
        }
    }
}

/// Refusals and requests of which no byte was sent promise that the request has not run.
#[test]
fn request_that_has_not_run_goes_to_other_helpers_up_to_a_limit() {
    let now = Instant::now();
    let ends = [
        HandoverTry::Refused(HelperRefusal::CutOff),
        HandoverTry::Refused(HelperRefusal::Busy),
        HandoverTry::Unsent,
    ];
    for end in ends {
        let mut progress = HandoverProgress::new(false, now + Duration::from_secs(1), THREE);
        for n in 0..MAX_HELPERS {
            assert!(progress.next_try(now).is_some(), "{end:?} {n}");
            progress.record(format!("g{n}").into(), end);
        }
        assert_eq!(progress.next_try(now), None, "{end:?}");
        let expected = match end {
            HandoverTry::Refused(HelperRefusal::Busy) => HandoverEnd::Busy,
            _ => HandoverEnd::ServeHere,
        };
        assert_eq!(progress.end(), expected, "{end:?}");
    }
}

/// A host that freezes with an idempotent request leaves time for another helper; one that runs at most once
/// gets all the time there is.
#[test]
fn first_try_of_an_idempotent_request_leaves_time_for_a_second() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let sign_by = |is_idempotent: bool, at: Instant| {
        let progress = HandoverProgress::new(is_idempotent, deadline, THREE);
        progress.next_try(at).map(|next| next.sign_by)
    };
    assert_eq!(sign_by(true, now), Some(now + Duration::from_millis(500)));
    assert_eq!(sign_by(false, now), Some(deadline));
    let late = deadline - Duration::from_millis(1);
    assert_eq!(sign_by(true, late), None);
}

#[test]
fn help_is_limited_by_own_requests_and_memory() {
    assert_eq!(check_help(true, 0, 100), Err(HelperRefusal::CutOff));
    assert_eq!(check_help(false, 7, 0), Ok(()));
    assert_eq!(check_help(false, 8, 0), Err(HelperRefusal::Busy));
    assert_eq!(check_help(false, 19, 40), Ok(()));
    assert_eq!(check_help(false, 20, 40), Err(HelperRefusal::Busy));
    assert_eq!(
        check_help(false, MAX_HELPED, 1_000),
        Err(HelperRefusal::Busy)
    );
}

/// Whatever helpers do with a request, it must not reach more endpoints than its route allows.
#[test]
fn helpers_together_get_no_more_attempts_than_are_left() {
    let now = Instant::now();
    let ends = [
        HandoverTry::Broken,
        HandoverTry::Failed,
        HandoverTry::Silent,
        HandoverTry::TimedOut,
        HandoverTry::Unsent,
        HandoverTry::Refused(HelperRefusal::Busy),
    ];
    for attempts in 0..6 {
        for first in ends {
            for second in ends {
                let left = AttemptGrant {
                    attempts,
                    is_retry: false,
                };
                let deadline = now + Duration::from_secs(1);
                let mut progress = HandoverProgress::new(true, deadline, left);
                let mut used = 0;
                for n in 0..MAX_HELPERS {
                    let Some(next) = progress.next_try(now) else {
                        break;
                    };
                    assert!(next.grant.attempts > 0);
                    assert_eq!(next.grant.is_retry, used > 0);
                    let end = if n % 2 == 0 { first } else { second };
                    let has_run = !matches!(end, HandoverTry::Unsent | HandoverTry::Refused(_));
                    used += if has_run { next.grant.attempts } else { 0 };
                    progress.record(format!("g{n}").into(), end);
                }
                assert!(used <= attempts, "{attempts}: {first:?}, {second:?}");
                // A frozen helper is no reason to give up while an attempt is left.
                let is_known = matches!(first, HandoverTry::Silent) && attempts >= 2;
                assert!(!is_known || used > attempts / 2 || second == HandoverTry::Unsent);
            }
        }
    }
}

#[test]
fn grant_is_read_as_it_is_written() {
    for attempts in [0, 1, 7, u32::MAX] {
        for is_retry in [false, true] {
            let grant = AttemptGrant { attempts, is_retry };
            assert_eq!(grant.to_string().parse(), Ok(grant));
        }
    }
    for text in [
        "",
        "one",
        "-1",
        "1 again",
        "1  retry",
        "1 retry ",
        "4294967296",
    ] {
        assert!(text.parse::<AttemptGrant>().is_err(), "{text}");
    }
}
