//! Parts of allowances at single gateways.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use turmericloft::core::{
    quota::{
        GRANT_VALIDITY, LIST_VALIDITY, MAX_OWNERS, QuotaAnswer, QuotaBounds, QuotaOutcome,
        QuotaRejection, QuotaStep, Quotas,
    },
    rate_limit::SharingGateways,
    traffic::{Organisation, RequestQuota},
};

const QUOTA: RequestQuota = RequestQuota {
    per_second: 3.0,
    burst: 3.0,
};

fn hosts(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("g{n}").into()).collect()
}

/// A gateway that has read a list of these hosts `now`, and may own parts by lists as of `usable_from`.
fn gateway(own: &Arc<str>, hosts: &[Arc<str>], now: Instant, usable_from: Instant) -> Quotas {
    let mut quotas = Quotas::new(QuotaBounds::default(), Arc::clone(own), 0);
    read_list(&mut quotas, own, hosts, now, usable_from);
    quotas
}

fn read_list(
    quotas: &mut Quotas,
    own: &Arc<str>,
    hosts: &[Arc<str>],
    now: Instant,
    usable_from: Instant,
) {
    let list = SharingGateways::new(Arc::clone(own), hosts.to_vec(), now, usable_from);
    quotas.record_list(now, &list);
}

/// Writes the record for the next process on the host, without which a third of each part is kept back.
fn write_record(quotas: &mut Quotas, now: Instant) {
    if let Some(write) = quotas.start_restart_write(now, 1) {
        quotas.record_restart_write_confirmed(write);
    }
}

/// Grants that a gateway gives in the window from `now` on, all of which count at its end.
fn grants(quotas: &mut Quotas, now: Instant, quota: &RequestQuota) -> usize {
    let mut count = 0;
    for step in 0..2_500 {
        let at = now + Duration::from_millis(2 * step);
        while let QuotaAnswer::Granted { .. } = quotas.answer(at, "north", quota) {
            count += 1;
            write_record(quotas, at);
        }
    }
    count
}

fn organisation() -> Organisation {
    Organisation {
        name: "north".into(),
        keys: Vec::new(),
        rank: 0,
        quota: Some(QUOTA),
    }
}

/// Guards against parts that add up to more, and against owners without a part.
#[test]
fn parts_of_all_gateways_add_up_to_the_allowance() {
    let now = Instant::now();
    for count in [1, 3, 17, 99, 300] {
        for (per_second, burst) in [(0.1, 0.0), (3.0, 3.0), (334.0, 334.0)] {
            let quota = RequestQuota { per_second, burst };
            let hosts = hosts(count);
            let parts = hosts.iter().map(|own| {
                let mut quotas = gateway(own, &hosts, now, now);
                grants(&mut quotas, now, &quota)
            });
            let parts: Vec<_> = parts.filter(|part| *part > 0).collect();
            let allowance = (per_second * 5.0 + burst) * 1.1 + 20.0;
            assert_eq!(parts.iter().sum::<usize>(), allowance as usize);
            assert_eq!(parts.len(), MAX_OWNERS.min(count));
        }
    }
}

/// Guards against a part that grows while a gateway that is missing from the list may still grant by an older one.
#[test]
fn part_of_a_missing_gateway_is_taken_over_only_when_its_lists_have_expired() {
    let now = Instant::now();
    let hosts = hosts(3);
    let join_delay = QuotaBounds::default().join_delay();
    let mut quotas = gateway(&hosts[0], &hosts, now, now);
    let before = grants(&mut quotas, now, &QUOTA);
    let missing_at = now + Duration::from_secs(10);
    read_list(&mut quotas, &hosts[0], &hosts[..1], missing_at, now);
    assert_eq!(grants(&mut quotas, missing_at, &QUOTA), before);
    let expired = missing_at + join_delay;
    let just_before = expired - Duration::from_millis(1);
    read_list(&mut quotas, &hosts[0], &hosts[..1], just_before, now);
    assert_eq!(grants(&mut quotas, just_before, &QUOTA), before);
    read_list(&mut quotas, &hosts[0], &hosts[..1], expired, now);
    let later = expired + QuotaBounds::default().grant_interval();
    let allowance = QuotaBounds::default().allowance(&QUOTA) as usize;
    assert_eq!(grants(&mut quotas, later, &QUOTA), allowance);
}

/// Guards against a gateway without news of the others that goes on granting.
#[test]
fn gateway_owns_nothing_before_its_start_or_after_its_list_has_expired() {
    let now = Instant::now();
    let hosts = hosts(3);
    let starts = now + Duration::from_secs(46);
    let mut joining = gateway(&hosts[1], &hosts, now, starts);
    assert_eq!(joining.answer(now, "north", &QUOTA), QuotaAnswer::NoPart);
    read_list(&mut joining, &hosts[1], &hosts, starts, starts);
    assert_ne!(grants(&mut joining, starts, &QUOTA), 0);
    let expired = starts + LIST_VALIDITY;
    assert_eq!(
        joining.answer(expired, "north", &QUOTA),
        QuotaAnswer::NoPart
    );
}

/// Guards against a request that is sent after its host was suspended, when its grant has left the window.
#[test]
fn grant_is_void_when_its_time_is_over() {
    let now = Instant::now();
    let hosts = hosts(1);
    let mut quotas = gateway(&hosts[0], &hosts, now, now);
    let mut call = quotas.start_call(now, &organisation()).expect("a quota");
    let QuotaStep::Granted(grant) = quotas.next_step(now, &mut call) else {
        panic!("a grant of its own");
    };
    assert!(grant.is_valid(now + GRANT_VALIDITY - Duration::from_millis(1)));
    assert!(!grant.is_valid(now + GRANT_VALIDITY));
    assert_eq!(quotas.finish(now, &grant, QuotaOutcome::NotRun), None);
}

/// Guards against credit that is lost with requests that endpoints turn away.
#[test]
fn grant_of_a_request_that_has_not_run_is_given_back() {
    let now = Instant::now();
    let hosts = hosts(1);
    let mut quotas = gateway(&hosts[0], &hosts, now, now);
    for _ in 0..1_000 {
        let mut call = quotas.start_call(now, &organisation()).expect("a quota");
        let QuotaStep::Granted(grant) = quotas.next_step(now, &mut call) else {
            panic!("a grant of its own");
        };
        quotas.finish(now, &grant, QuotaOutcome::NotRun);
    }
}

/// A gateway that is alone with its list grants by its own part, and rejects the rest: the others do not answer.
#[test]
fn gateway_that_hears_no_other_uses_its_own_part_only() {
    let now = Instant::now();
    let hosts = hosts(4);
    let mut quotas = gateway(&hosts[0], &hosts, now, now);
    let mut granted = 0;
    for _ in 0..100 {
        let mut call = quotas.start_call(now, &organisation()).expect("a quota");
        let rejection = loop {
            match quotas.next_step(now, &mut call) {
                QuotaStep::Ask(_) => assert_eq!(quotas.record_answer(now, &mut call, None), None),
                QuotaStep::Granted(_) => break None,
                QuotaStep::Rejected(rejection) => break Some(rejection),
            }
        };
        write_record(&mut quotas, now);
        granted += usize::from(rejection.is_none());
    }
    let allowance = QuotaBounds::default().allowance(&QUOTA) as usize;
    assert_eq!(granted, allowance.div_ceil(4));
    let mut stranger = gateway(&"other".into(), &hosts, now, now);
    let mut call = stranger.start_call(now, &organisation()).expect("a quota");
    while let QuotaStep::Ask(_) = stranger.next_step(now, &mut call) {
        stranger.record_answer(now, &mut call, None);
    }
    let rejection = QuotaStep::Rejected(QuotaRejection::NoOwner);
    assert_eq!(stranger.next_step(now, &mut call), rejection);
}

/// Guards against calls to the store where no organisation has a quota.
#[test]
fn lists_are_read_only_while_quotas_are_in_use() {
    let now = Instant::now();
    let hosts = hosts(3);
    let mut quotas = gateway(&hosts[0], &hosts, now, now);
    assert_eq!(quotas.refresh_at(now), None);
    let without_quota = Organisation {
        quota: None,
        ..organisation()
    };
    assert!(quotas.start_call(now, &without_quota).is_none());
    assert_eq!(quotas.refresh_at(now), None);
    quotas.start_call(now, &organisation());
    assert_eq!(quotas.refresh_at(now), Some(now + Duration::from_secs(15)));
    let idle = now + Duration::from_secs(601);
    assert_eq!(quotas.refresh_at(idle), None);
}

/// Guards against an answer of an owner whose time overflows an instant, or excludes the owner for years.
#[test]
fn endless_denial_excludes_the_owner_for_a_while() {
    let now = Instant::now();
    let hosts = hosts(2);
    let organisation = Organisation {
        name: "north".into(),
        keys: Vec::new(),
        rank: 0,
        quota: Some(QUOTA),
    };
    for free_in in [Duration::MAX, Duration::from_secs(i64::MAX as u64)] {
        let mut quotas = gateway(&hosts[0], &hosts, now, now + Duration::from_secs(3_600));
        for at in [now, now + Duration::from_secs(61)] {
            read_list(
                &mut quotas,
                &hosts[0],
                &hosts,
                at,
                now + Duration::from_secs(3_600),
            );
            let mut call = quotas.start_call(at, &organisation).expect("a quota");
            let QuotaStep::Ask(_) = quotas.next_step(at, &mut call) else {
                panic!("no owner is asked");
            };
            quotas.record_answer(at, &mut call, Some(QuotaAnswer::Denied { free_in }));
        }
    }
}
