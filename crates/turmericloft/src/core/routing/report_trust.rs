//! Reliability of the load reports of a service's endpoints.
//!
//! Reports that are stale or wrong do not predict latency, and lose their weight.

/// Running correlation between reported load and the latency of the call that carried the report.
///
/// An endpoint with a long queue reports a high load in responses of calls that waited long. Stale
/// or wrong reports are not correlated with latency.
#[derive(Clone, Debug)]
pub(super) struct ReportTrust {
    samples: u32,
    load: f64,
    latency: f64,
    load_variance: f64,
    latency_variance: f64,
    covariance: f64,
}

/// Weight of one response in the running means, once there are enough of them.
const SAMPLE_WEIGHT: f64 = 1.0 / 256.0;
/// Responses before the correlation is used; until then reports have full weight.
const MIN_SAMPLES: u32 = 256;
/// Correlation coefficient from which on reports have full weight.
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

    /// Records the load reported in a response, as a share of the slots, and the latency of the
    /// call in seconds.
    pub(super) fn record(&mut self, load: f64, latency: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let load_deviation = load - self.load;
        let latency_deviation = latency - self.latency;
        self.load += weight * load_deviation;
        self.latency += weight * latency_deviation;
        self.load_variance += weight * (load_deviation * load_deviation - self.load_variance);
        self.latency_variance +=
            weight * (latency_deviation * latency_deviation - self.latency_variance);
        self.covariance += weight * (load_deviation * latency_deviation - self.covariance);
    }

    /// Weight of a fresh report, from 0 to 1.
    pub(super) fn get(&self) -> f64 {
        let scale = (self.load_variance * self.latency_variance).sqrt();
        if self.samples < MIN_SAMPLES || scale <= 0.0 {
            return 1.0;
        }
        (self.covariance / scale / FULL_CORRELATION).clamp(0.0, 1.0)
    }
}
