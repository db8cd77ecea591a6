//! How far load reports can be trusted.

/// Correlation between the load on answers and the latency of the answered calls.
///
/// A fresh report of a long queue comes with a call that waited long. Old or untrue reports come
/// with any latency.
#[derive(Clone, Debug)]
pub(super) struct ReportTrust {
    samples: u32,
    load: f64,
    latency: f64,
    load_variance: f64,
    latency_variance: f64,
    covariance: f64,
}

/// Weight of one answer.
const WEIGHT: f64 = 1.0 / 256.0;
/// Answers until the correlation is used.
const MIN_SAMPLES: u32 = 256;
/// Correlation from which on reports are trusted fully.
const FULL_CORRELATION: f64 = 0.15;

impl ReportTrust {
    pub(super) fn new() -> Self {
        Self {
            samples: 0,
            load: 0.0,
            latency: 0.0,
            load_variance: 0.0,
            latency_variance: 0.0,
            covariance: 0.0,
        }
    }

    /// Takes in the load on an answer, as a share of the slots, and the call's latency in seconds.
    pub(super) fn record(&mut self, load: f64, latency: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        let load_gap = load - self.load;
        let latency_gap = latency - self.latency;
        self.load += weight * load_gap;
        self.latency += weight * latency_gap;
        self.load_variance += weight * (load_gap * load_gap - self.load_variance);
        self.latency_variance += weight * (latency_gap * latency_gap - self.latency_variance);
        self.covariance += weight * (load_gap * latency_gap - self.covariance);
    }

    /// Share of a report's worth that is left, from 0 to 1.
    pub(super) fn get(&self) -> f64 {
        let scale = (self.load_variance * self.latency_variance).sqrt();
        if self.samples < MIN_SAMPLES || scale <= 0.0 {
            return 1.0;
        }
        (self.covariance / scale / FULL_CORRELATION).clamp(0.0, 1.0)
    }
}
