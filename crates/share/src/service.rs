//! Run times as learned from work that has ended.

use std::time::Duration;

/// Number of histogram buckets.
const BUCKETS: usize = 48;
/// Upper edge of the lowest bucket, in seconds.
const LOWEST_SECS: f64 = 0.001;
/// Ratio of the upper edges of two neighbouring buckets.
const BUCKET_RATIO: f64 = 1.3;
/// Weight that older samples keep when a new one arrives.
const KEEP: f64 = 0.995;
/// Samples from which the learned values replace the declared ones.
const TRUSTED_SAMPLES: f64 = 8.0;

/// A decaying histogram of run times, in constant memory.
///
/// Declared run times are far off, so they only stand in until a few samples
/// have been seen.
#[derive(Debug, Clone)]
pub struct ServiceTimes {
    counts: [f64; BUCKETS],
    total: f64,
    mean: f64,
}

impl Default for ServiceTimes {
    fn default() -> ServiceTimes {
        ServiceTimes { counts: [0.0; BUCKETS], total: 0.0, mean: 0.0 }
    }
}

impl ServiceTimes {
    /// Takes in the run time of a piece of work that has ended.
    pub fn record(&mut self, taken: Duration) {
        let secs = taken.as_secs_f64();
        self.counts.iter_mut().for_each(|count| *count *= KEEP);
        self.total = self.total * KEEP + 1.0;
        self.counts[bucket_of(secs)] += 1.0;
        self.mean += (secs - self.mean) / self.total;
    }

    /// Returns the mean, or `declared` while too little is known.
    pub fn mean(&self, declared: Duration) -> Duration {
        if self.is_trusted() { Duration::from_secs_f64(self.mean.max(0.0)) } else { declared }
    }

    /// Returns a time that the given part of the work stays within, or
    /// `declared` while too little is known.
    pub fn quantile(&self, part: f64, declared: Duration) -> Duration {
        if !self.is_trusted() {
            return declared;
        }
        let wanted = self.total * part;
        let mut seen = 0.0;
        let at = self.counts.iter().position(|count| {
            seen += count;
            seen >= wanted
        });
        let edge = LOWEST_SECS * BUCKET_RATIO.powi(at.unwrap_or(BUCKETS - 1) as i32);
        Duration::from_secs_f64(edge)
    }

    /// Whether enough samples were seen to go by them.
    pub fn is_trusted(&self) -> bool {
        self.total >= TRUSTED_SAMPLES
    }
}

fn bucket_of(secs: f64) -> usize {
    if secs <= LOWEST_SECS {
        return 0;
    }
    let at = ((secs / LOWEST_SECS).ln() / BUCKET_RATIO.ln()).ceil();
    (at as usize).min(BUCKETS - 1)
}
