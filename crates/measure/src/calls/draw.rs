//! Draws of run times and of times between arrivals.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Part of the work whose run time comes from the heavy tail.
const TAIL_PART: f64 = 0.01;
/// Exponent of the heavy tail.
const TAIL_EXPONENT: f64 = 2.2;
/// Least run time of the tail, in means.
const TAIL_FROM: f64 = 4.0;
/// Longest run time, in means.
const TAIL_MOST: f64 = 60.0;
/// Spread of the logarithm of run times outside the tail.
const BODY_SIGMA: f64 = 0.7;
/// Spread of the logarithm of declared over true run times.
const DECLARED_SIGMA: f64 = 1.5;

/// A seeded source of draws.
#[derive(Debug)]
pub(crate) struct Draw {
    source: SmallRng,
}

impl Draw {
    pub(crate) fn new(seed: u64) -> Draw {
        Draw { source: SmallRng::seed_from_u64(seed) }
    }

    /// Returns a number from 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.source.random::<f64>()
    }

    /// Returns the time to the next arrival at `rate` arrivals a second.
    pub(crate) fn pause(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }

    /// Returns a run time of about the given mean, in the same unit: mostly
    /// log-normal, with a bounded Pareto tail.
    pub(crate) fn service(&mut self, mean: f64) -> f64 {
        if self.unit() < TAIL_PART {
            let tail = TAIL_FROM * (1.0 - self.unit()).powf(-1.0 / TAIL_EXPONENT);
            return mean * tail.min(TAIL_MOST);
        }
        // The tail adds about this part to the mean.
        let tail_mean = TAIL_PART * TAIL_FROM * TAIL_EXPONENT / (TAIL_EXPONENT - 1.0);
        let body = (mean * (1.0 - tail_mean)).ln() - BODY_SIGMA * BODY_SIGMA / 2.0;
        (body + BODY_SIGMA * self.normal()).exp()
    }

    /// Returns what a caller declares of a true run time.
    pub(crate) fn declared(&mut self, service: f64) -> f64 {
        service * (DECLARED_SIGMA * self.normal()).exp()
    }

    /// Returns an index, with probabilities in proportion to `weights`.
    pub(crate) fn index(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        for (at, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return at;
            }
        }
        weights.len().saturating_sub(1)
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.unit()).cos()
    }
}
