//! Latencies, shares and rates of one run.

use super::{
    calls::{Call, Completion},
    case::{CALLER_WEIGHTS, Case, Fault},
    workload::{Arrival, RUSHING_CALLER},
};

/// Figures of one run, for the calls from a given start on. A latency is 0 if no call counts for
/// it.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// 99th percentile latency of the callers other than the rushing one.
    pub others_p99_ms: f64,
    /// Calls served by their deadline, of all calls.
    pub in_time_share: f64,
    /// Calls served by their deadline, of those that were not rejected.
    pub admitted_in_time_share: f64,
    /// Rejected calls, of all calls.
    pub refused_share: f64,
    /// 99th percentile of the time from the start of a call to its rejection.
    pub refusal_p99_ms: f64,
    /// Hedges and retries, as a share of all calls.
    pub extra_calls_share: f64,
    /// Largest relative difference between what a caller was served and its fair share.
    pub max_share_error: f64,
    /// Calls served by their deadline, of those that the endpoints can serve.
    pub goodput_share: f64,
}

impl Summary {
    /// Summarises the calls that start at `from` seconds of simulated time or later.
    pub fn new(case: &Case, arrivals: &[Arrival], calls: &[Call], from: f64) -> Self {
        let measured = || {
            let all = arrivals.iter().zip(calls);
            all.filter(|(a, _)| a.at.as_secs_f64() >= from)
        };
        let total = measured().count() as f64;
        let served = measured().filter(|(_, c)| is_served(c)).count() as f64;
        let rejected = measured().filter(|(_, c)| is_rejected(c)).count() as f64;
        let extra: usize = measured()
            .map(|(_, c)| c.attempts.len().saturating_sub(1))
            .sum();
        let mut latencies: Vec<_> = measured()
            .filter_map(|(_, c)| latency_ms(case, c))
            .collect();
        let mut others: Vec<_> = measured()
            .filter(|(a, _)| a.caller != RUSHING_CALLER)
            .filter_map(|(_, c)| latency_ms(case, c))
            .collect();
        let mut rejection_latencies: Vec<_> = measured()
            .filter_map(|(_, c)| rejection_latency_ms(c))
            .collect();
        let seconds = case.end.as_secs_f64() - from;
        Self {
            p50_ms: quantile(&mut latencies, 0.5),
            p99_ms: quantile(&mut latencies, 0.99),
            p999_ms: quantile(&mut latencies, 0.999),
            others_p99_ms: quantile(&mut others, 0.99),
            in_time_share: served / total,
            admitted_in_time_share: served / (total - rejected),
            refused_share: rejected / total,
            refusal_p99_ms: quantile(&mut rejection_latencies, 0.99),
            extra_calls_share: extra as f64 / total,
            max_share_error: max_share_error(measured()),
            goodput_share: served / (seconds * case.capacity_per_s()),
        }
    }

    /// Metrics that apply to the case, with name, value and unit.
    pub fn metrics(&self, case: &Case) -> Vec<(&'static str, f64, &'static str)> {
        let mut metrics = vec![
            ("p50_ms", self.p50_ms, "ms"),
            ("p99_ms", self.p99_ms, "ms"),
            ("p999_ms", self.p999_ms, "ms"),
            ("in_time_share", self.in_time_share, "share"),
            ("refused_share", self.refused_share, "share"),
            ("extra_calls_share", self.extra_calls_share, "share"),
            ("max_share_error", self.max_share_error, "share"),
        ];
        if case.fault == Fault::Rush {
            metrics.push(("others_p99_ms", self.others_p99_ms, "ms"));
        }
        if matches!(case.fault, Fault::Rush | Fault::Overload) {
            metrics.push(("goodput_share", self.goodput_share, "share"));
            metrics.push(("refusal_p99_ms", self.refusal_p99_ms, "ms"));
            let in_time = self.admitted_in_time_share;
            metrics.push(("admitted_in_time_share", in_time, "share"));
        }
        metrics
    }
}

fn is_served(call: &Call) -> bool {
    matches!(call.completion, Some(Completion::Served(_)))
}

fn is_rejected(call: &Call) -> bool {
    matches!(call.completion, Some(Completion::Rejected(_)))
}

/// Latency of an admitted call; one that timed out counts with its deadline.
fn latency_ms(case: &Case, call: &Call) -> Option<f64> {
    match call.completion {
        Some(Completion::Served(seconds)) => Some(seconds * 1e3),
        Some(Completion::TimedOut) => Some(case.deadline.as_secs_f64() * 1e3),
        _ => None,
    }
}

fn rejection_latency_ms(call: &Call) -> Option<f64> {
    match call.completion {
        Some(Completion::Rejected(seconds)) => Some(seconds * 1e3),
        _ => None,
    }
}

fn quantile(values: &mut [f64], q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let rank = (q * values.len() as f64).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}

/// Largest relative difference between what a caller was served and its fair share: the weighted
/// max-min share of all that was served.
fn max_share_error<'a>(measured: impl Iterator<Item = (&'a Arrival, &'a Call)>) -> f64 {
    let mut offered = [0.0; CALLER_WEIGHTS.len()];
    let mut served = [0.0; CALLER_WEIGHTS.len()];
    for (arrival, call) in measured {
        offered[arrival.caller] += 1.0;
        if is_served(call) {
            served[arrival.caller] += 1.0;
        }
    }
    let fair = fair_shares(&offered, served.iter().sum());
    let errors = served.iter().zip(fair).map(|(s, f)| (s - f).abs() / f);
    errors.fold(0.0, f64::max)
}

/// Weighted max-min shares of `capacity`, in calls, for callers that send `offered` calls each.
fn fair_shares(offered: &[f64], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; offered.len()];
    let mut left = capacity;
    let mut open: Vec<usize> = (0..offered.len()).collect();
    while !open.is_empty() && left > 1e-9 {
        let weights: f64 = open.iter().map(|&i| f64::from(CALLER_WEIGHTS[i])).sum();
        let share = |i: usize| left * f64::from(CALLER_WEIGHTS[i]) / weights;
        let (satisfied, unsatisfied): (Vec<_>, Vec<_>) =
            open.iter().partition(|&&i| offered[i] <= share(i));
        if satisfied.is_empty() {
            unsatisfied.iter().for_each(|&i| shares[i] = share(i));
            break;
        }
        for &i in &satisfied {
            shares[i] = offered[i];
        }
        left -= satisfied.iter().map(|&i| offered[i]).sum::<f64>();
        open = unsatisfied;
    }
    shares
}
