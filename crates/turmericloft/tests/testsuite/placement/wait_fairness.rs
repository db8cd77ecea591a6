//! Fairness between organisations in the queue of requests that wait for capacity.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::placement::{WaitKey, WaitQueue, WaitRank, WaitTicket};

fn calendar() -> Arc<str> {
    "calendar".into()
}

/// A request of an organisation on a route of rank 1.
fn of<'a>(organisation: &'a Arc<str>, organisation_rank: u32) -> WaitKey<'a> {
    WaitKey {
        rank: WaitRank {
            organisation: organisation_rank,
            route: 1,
        },
        organisation: Some(organisation),
    }
}

fn open_and_enqueue(queue: &mut WaitQueue, key: WaitKey<'_>, limit: usize) -> Option<WaitTicket> {
    queue.open_request(key.organisation.expect("an organisation"));
    queue.enqueue(&calendar(), key, limit)
}

/// An organisation with far more requests than the others would have all slots that become free.
#[test]
fn a_request_of_an_organisation_with_fewer_requests_goes_first() {
    let mut queue = WaitQueue::new();
    let (large, small): (Arc<str>, Arc<str>) = ("large".into(), "small".into());
    // Two requests of the large organisation are in flight.
    queue.open_request(&large);
    queue.open_request(&large);
    let crowd: Vec<_> = (0..3)
        .map(|_| open_and_enqueue(&mut queue, of(&large, 1), 9).expect("a position"))
        .collect();
    queue.open_request(&small);
    assert!(!queue.has_requests_ahead("calendar", of(&small, 1)));
    let other = queue.enqueue(&calendar(), of(&small, 1), 9);
    let other = other.expect("a position");
    assert!(queue.is_first(&other));
    queue.remove(&other);
    assert!(queue.is_first(&crowd[0]) && !queue.is_first(&crowd[1]));
    // Once its requests have ended, the small organisation goes first again, and the large one is not forgotten.
    queue.close_request(&small);
    (0..2).for_each(|_| queue.close_request(&large));
    assert!(queue.is_first(&crowd[0]));
}

/// Without this, a queue that one organisation has filled rejects all requests of the others.
#[test]
fn a_full_queue_drops_a_request_of_the_organisation_that_holds_most_of_it() {
    let mut queue = WaitQueue::new();
    let (large, small): (Arc<str>, Arc<str>) = ("large".into(), "small".into());
    let crowd: Vec<_> = (0..3)
        .map(|_| open_and_enqueue(&mut queue, of(&large, 1), 3).expect("a position"))
        .collect();
    assert!(open_and_enqueue(&mut queue, of(&large, 1), 3).is_none());
    assert!(open_and_enqueue(&mut queue, of(&small, 1), 3).is_some());
    assert!(!queue.contains(&crowd[2]) && queue.contains(&crowd[1]));
    // Now the large organisation has two requests of three, and a second one of the small one would not be fairer.
    assert!(open_and_enqueue(&mut queue, of(&small, 1), 3).is_none());
    // A more urgent request is never dropped for one that is less urgent.
    assert!(open_and_enqueue(&mut queue, of(&small, 2), 3).is_none());
}

/// One organisation sends 7.5 times as many requests as each of 72 others, and a third of all requests are served.
#[test]
fn an_organisation_with_many_requests_does_not_crowd_out_the_others() {
    const OTHERS: usize = 72;
    const LIMIT: usize = 6;
    let names: Vec<Arc<str>> = (0..=OTHERS).map(|i| format!("o{i}").into()).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut queue = WaitQueue::new();
    let mut waiting: Vec<(WaitTicket, usize)> = Vec::new();
    let (mut sent, mut served) = (vec![0; OTHERS + 1], vec![0; OTHERS + 1]);
    for round in 0..60_000 {
        let at = rng.random::<f64>() * (OTHERS as f64 + 7.5);
        let organisation = (at - 6.5).max(0.0) as usize;
        sent[organisation] += 1;
        let key = of(&names[organisation], 1);
        match open_and_enqueue(&mut queue, key, LIMIT) {
            Some(ticket) => waiting.push((ticket, organisation)),
            None => queue.close_request(&names[organisation]),
        }
        let (kept, dropped): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(t, _)| queue.contains(t));
        waiting = kept;
        dropped
            .iter()
            .for_each(|(_, o)| queue.close_request(&names[*o]));
        if round % 3 == 0 {
            let next = waiting.iter().position(|(t, _)| queue.is_first(t));
            let (ticket, organisation) = waiting.remove(next.expect("a request that is first"));
            queue.remove(&ticket);
            queue.close_request(&names[organisation]);
            served[organisation] += 1;
        }
    }
    let share = |i: usize| f64::from(served[i]) / f64::from(sent[i]);
    let all = f64::from(served.iter().sum::<i32>()) / f64::from(sent.iter().sum::<i32>());
    for i in 0..=OTHERS {
        assert!(share(i) > all / 4.0, "o{i}: {} of all {all}", share(i));
    }
    assert!((1..=OTHERS).all(|i| share(i) > share(0)), "{}", share(0));
}
