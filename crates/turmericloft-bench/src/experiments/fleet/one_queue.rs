//! One queue that knows all endpoints: the best that any gateway could do.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use super::{
    Args,
    endpoint::{Endpoint, RequestIndex},
    summary::Summary,
    workload::Workload,
};

/// Runs the workload with one queue in order of arrival. The fastest endpoint with a free slot gets the
/// next request; one that cannot meet its target there any more is rejected.
pub(super) fn run(args: &Args, workload: &Workload) -> Summary {
    let mut summary = Summary::new(args);
    let mut endpoints = vec![Endpoint::new(args.slots, 0); args.endpoints];
    let mut ends: BinaryHeap<Reverse<(Duration, usize, RequestIndex)>> = BinaryHeap::new();
    let mut queue = VecDeque::new();
    let mut arrivals = workload.arrivals.iter().enumerate().peekable();
    loop {
        let next_arrival = arrivals.peek().map(|(_, a)| a.at);
        let next_end = ends.peek().map(|Reverse((at, _, _))| *at);
        let now = match (next_arrival, next_end) {
            (Some(arrival), Some(end)) => arrival.min(end),
            (Some(at), None) | (None, Some(at)) => at,
            (None, None) => return summary,
        };
        if next_end == Some(now) {
            if let Some(Reverse((_, endpoint, request))) = ends.pop() {
                endpoints[endpoint].finish();
                summary.record_response(workload.arrivals[request].at, now);
            }
        } else if let Some((request, _)) = arrivals.next() {
            queue.push_back(request);
        }
        while let Some(endpoint) = fastest_free(&endpoints, workload, now)
            && let Some(request) = queue.pop_front()
        {
            let arrival = workload.arrivals[request];
            let slowdown = workload.slowdown(endpoint, now);
            let end = now + arrival.service_time.mul_f64(slowdown);
            if end > arrival.at + args.target() {
                summary.record_rejection(arrival.at);
                continue;
            }
            endpoints[endpoint].accept(request);
            ends.push(Reverse((end, endpoint, request)));
        }
    }
}

fn fastest_free(endpoints: &[Endpoint], workload: &Workload, now: Duration) -> Option<usize> {
    let free = (0..endpoints.len()).filter(|i| endpoints[*i].has_free_slot());
    let slowdown = |i: &usize| workload.slowdown(*i, now);
    free.min_by(|a, b| slowdown(a).total_cmp(&slowdown(b)))
}
