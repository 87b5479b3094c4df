//! Run times measured from finished work.

use std::time::Duration;

/// Number of histogram buckets.
const BUCKET_COUNT: usize = 48;
/// Upper edge of the lowest bucket, in seconds.
const LOWEST_EDGE_SECS: f64 = 0.001;
/// Ratio of the upper edges of two neighbouring buckets.
const BUCKET_RATIO: f64 = 1.3;
/// Factor by which the weight of older samples decays with each new sample.
const SAMPLE_DECAY: f64 = 0.995;
/// Total weight of samples from which measured values replace declared ones.
const TRUSTED_WEIGHT: f64 = 8.0;

/// A decaying histogram of run times that uses constant memory.
///
/// Run times that senders declare are far off, so they are only used until a few
/// samples have been measured.
#[derive(Debug, Clone)]
pub struct ServiceTimes {
    counts: [f64; BUCKET_COUNT],
    total: f64,
    mean: f64,
}

impl Default for ServiceTimes {
    fn default() -> ServiceTimes {
        ServiceTimes { counts: [0.0; BUCKET_COUNT], total: 0.0, mean: 0.0 }
    }
}

impl ServiceTimes {
    /// Adds the run time of a finished piece of work.
    pub fn record(&mut self, run_time: Duration) {
        let secs = run_time.as_secs_f64();
        self.counts.iter_mut().for_each(|count| *count *= SAMPLE_DECAY);
        self.total = self.total * SAMPLE_DECAY + 1.0;
        self.counts[bucket_of(secs)] += 1.0;
        self.mean += (secs - self.mean) / self.total;
    }

    /// Returns the mean run time, or `declared` if there are too few samples.
    pub fn mean(&self, declared: Duration) -> Duration {
        if self.is_trusted() { Duration::from_secs_f64(self.mean.max(0.0)) } else { declared }
    }

    /// Returns the run time within which the given fraction of the work finishes,
    /// rounded up to a bucket's upper edge, or `declared` if there are too few
    /// samples.
    pub fn quantile(&self, fraction: f64, declared: Duration) -> Duration {
        if !self.is_trusted() {
            return declared;
        }
        let wanted = self.total * fraction;
        let mut seen = 0.0;
        let at = self.counts.iter().position(|count| {
            seen += count;
            seen >= wanted
        });
        let edge = LOWEST_EDGE_SECS * BUCKET_RATIO.powi(at.unwrap_or(BUCKET_COUNT - 1) as i32);
        Duration::from_secs_f64(edge)
    }

    /// Whether there are enough samples to use measured values.
    pub fn is_trusted(&self) -> bool {
        self.total >= TRUSTED_WEIGHT
    }
}

/// Returns the index of the histogram bucket of a run time.
fn bucket_of(secs: f64) -> usize {
    if secs <= LOWEST_EDGE_SECS {
        return 0;
    }
    let at = ((secs / LOWEST_EDGE_SECS).ln() / BUCKET_RATIO.ln()).ceil();
    (at as usize).min(BUCKET_COUNT - 1)
}
