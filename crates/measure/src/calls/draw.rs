//! Random run times, times between arrivals and choices.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Fraction of the run times that are drawn from the heavy tail.
const TAIL_FRACTION: f64 = 0.01;
/// Exponent of the Pareto distribution of the tail.
const TAIL_EXPONENT: f64 = 2.2;
/// Shortest run time of the tail, as a multiple of the mean.
const TAIL_MIN: f64 = 4.0;
/// Longest run time, as a multiple of the mean.
const TAIL_MAX: f64 = 60.0;
/// Standard deviation of the logarithm of run times outside the tail.
const BODY_SIGMA: f64 = 0.7;
/// Standard deviation of the logarithm of declared over actual run times.
const DECLARED_SIGMA: f64 = 1.5;

/// A seeded random number generator.
#[derive(Debug)]
pub(crate) struct Draw {
    rng: SmallRng,
}

impl Draw {
    /// Returns a generator with a seed.
    pub(crate) fn new(seed: u64) -> Draw {
        Draw { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns a number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn unit(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    /// Returns the exponentially distributed time to the next arrival, at `rate` arrivals per
    /// unit of time.
    pub(crate) fn pause(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }

    /// Returns a run time with about the given mean, in the same unit. The distribution is
    /// log-normal with a bounded Pareto tail.
    pub(crate) fn service(&mut self, mean: f64) -> f64 {
        if self.unit() < TAIL_FRACTION {
            let tail = TAIL_MIN * (1.0 - self.unit()).powf(-1.0 / TAIL_EXPONENT);
            return mean * tail.min(TAIL_MAX);
        }
        // The contribution of the tail to the mean, as a fraction of the mean.
        let tail_mean = TAIL_FRACTION * TAIL_MIN * TAIL_EXPONENT / (TAIL_EXPONENT - 1.0);
        let body = (mean * (1.0 - tail_mean)).ln() - BODY_SIGMA * BODY_SIGMA / 2.0;
        (body + BODY_SIGMA * self.normal()).exp()
    }

    /// Returns the run time that a caller declares for an actual run time.
    pub(crate) fn declared(&mut self, service: f64) -> f64 {
        service * (DECLARED_SIGMA * self.normal()).exp()
    }

    /// Returns an index, with probabilities in proportion to `weights`.
    pub(crate) fn index(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return index;
            }
        }
        weights.len().saturating_sub(1)
    }

    /// Returns a number with the standard normal distribution (Box-Muller transform).
    pub(crate) fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.unit()).cos()
    }
}
