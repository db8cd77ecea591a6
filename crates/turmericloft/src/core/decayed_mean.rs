//! A mean whose samples lose weight with age.

/// Sum and weight of samples, both halved every half-life. Times are seconds of one epoch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedMean {
    half_life: f64,
    updated: f64,
    weight: f64,
    sum: f64,
}

impl DecayedMean {
    pub(crate) fn new(half_life: f64) -> Self {
        Self {
            half_life,
            updated: 0.0,
            weight: 0.0,
            sum: 0.0,
        }
    }

    pub(crate) fn add(&mut self, now: f64, value: f64) {
        self.add_weighted(now, 1.0, value);
    }

    /// Adds to weight and sum; weight 0 stands for a sample whose end was not seen.
    pub(crate) fn add_weighted(&mut self, now: f64, weight: f64, value: f64) {
        let kept = self.kept(now);
        self.weight = self.weight * kept + weight;
        self.sum = self.sum * kept + value;
        self.updated = now;
    }

    /// Weight and sum left at `now`.
    pub(crate) fn weight_and_sum_at(&self, now: f64) -> (f64, f64) {
        let kept = self.kept(now);
        (self.weight * kept, self.sum * kept)
    }

    /// Weight and sum as of the last sample.
    pub(crate) fn last_weight_and_sum(&self) -> (f64, f64) {
        (self.weight, self.sum)
    }

    /// Mean of the samples; `default` without any.
    pub(crate) fn mean_or(&self, default: f64) -> f64 {
        if self.weight > f64::MIN_POSITIVE {
            self.sum / self.weight
        } else {
            default
        }
    }

    /// Mean of the samples and of `weight` more of the value `prior`, which do not age.
    pub(crate) fn mean_with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.weight + weight)
    }

    fn kept(&self, now: f64) -> f64 {
        let age = (now - self.updated).max(0.0);
        (-age / self.half_life).exp2()
    }
}
