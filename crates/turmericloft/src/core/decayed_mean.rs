//! An exponentially decayed mean.

/// Weight and sum of samples, both halved every half-life. Times are seconds since an epoch that
/// the user of the mean chooses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedMean {
    half_life_s: f64,
    updated_at: f64,
    weight: f64,
    sum: f64,
}

impl DecayedMean {
    pub(crate) fn new(half_life_s: f64) -> Self {
        Self {
            half_life_s,
            updated_at: 0.0,
            weight: 0.0,
            sum: 0.0,
        }
    }

    pub(crate) fn add(&mut self, now: f64, value: f64) {
        self.add_weighted(now, 1.0, value);
    }

    /// Adds to weight and sum. Weight 0 adds a value whose sample has not ended, such as the
    /// latency so far of a request that was given up.
    pub(crate) fn add_weighted(&mut self, now: f64, weight: f64, value: f64) {
        let decay = self.decay(now);
        self.weight = self.weight * decay + weight;
        self.sum = self.sum * decay + value;
        self.updated_at = now;
    }

    /// Weight and sum, decayed to `now`.
    pub(crate) fn weight_and_sum_at(&self, now: f64) -> (f64, f64) {
        let decay = self.decay(now);
        (self.weight * decay, self.sum * decay)
    }

    /// Weight and sum as of the last sample, without decay since.
    pub(crate) fn last_weight_and_sum(&self) -> (f64, f64) {
        (self.weight, self.sum)
    }

    /// Mean of the samples, or `default` if there are none.
    pub(crate) fn mean_or(&self, default: f64) -> f64 {
        if self.weight > f64::MIN_POSITIVE {
            self.sum / self.weight
        } else {
            default
        }
    }

    /// Mean of the samples and of a prior with the value `prior` and a constant `weight` in
    /// samples.
    pub(crate) fn mean_with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.weight + weight)
    }

    fn decay(&self, now: f64) -> f64 {
        let age = (now - self.updated_at).max(0.0);
        (-age / self.half_life_s).exp2()
    }
}
