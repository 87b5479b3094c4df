//! Measurements of host failures and of the time that drained hosts are away.

use vg_base::prelude::*;

use crate::{Limits, WallTime};

/// Half-life of the failure count.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(7 * 24 * 60 * 60);
/// Weight of a new measurement in the moving average of the time away.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Maximum number of failures that a budget reserves hosts for.
const MAX_FAILURES: u32 = 64;

/// The failure rate and the mean time that a drained host is away, measured by the
/// planner.
///
/// They are not stored: a new planner starts with the defaults of its limits.
#[derive(Debug, Clone)]
pub struct Measurements {
    /// Number of failures, which halves in each half-life.
    failures: f64,
    /// Time of the last change of `failures`.
    updated_at: Option<WallTime>,
    mean_away_secs: f64,
}

impl Measurements {
    pub(crate) fn new(limits: &Limits) -> Measurements {
        Measurements {
            failures: 0.0,
            updated_at: None,
            mean_away_secs: limits.default_away.as_secs_f64(),
        }
    }

    /// Records the failure of `count` hosts.
    pub(crate) fn record_failures(&mut self, count: u32, now: WallTime) {
        let elapsed = now.since(self.updated_at.unwrap_or(now)).as_secs_f64();
        self.failures *= 0.5_f64.powf(elapsed / FAILURE_HALF_LIFE.as_secs_f64());
        self.failures += f64::from(count);
        self.updated_at = Some(now);
    }

    /// Records the time that a host was away for maintenance or a move.
    pub(crate) fn record_away(&mut self, away: Duration) {
        self.mean_away_secs += SMOOTHING_FACTOR * (away.as_secs_f64() - self.mean_away_secs);
    }

    /// Returns the mean time that a host is away for maintenance or a move.
    pub fn mean_away(&self) -> Duration {
        Duration::from_secs_f64(self.mean_away_secs.max(0.0))
    }

    /// Returns the smallest number of failures for which the probability of more
    /// failures during the maintenance of one host is at most `chance`, in a pool
    /// of `hosts` hosts out of `fleet`. The result is at most 64.
    pub fn likely_failures(&self, hosts: usize, fleet: usize, chance: f64) -> u32 {
        // At a constant rate, a count that halves each half-life converges to
        // rate * half-life / ln 2. The number of failures during one maintenance
        // is modelled as Poisson distributed with the mean computed from this rate.
        let window_secs = FAILURE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let mean =
            self.failures / window_secs * self.mean_away_secs * hosts as f64 / fleet.max(1) as f64;
        let mut term = (-mean).exp();
        let mut cumulative = term;
        let mut count = 0;
        while 1.0 - cumulative > chance && count < MAX_FAILURES {
            count += 1;
            term *= mean / f64::from(count);
            cumulative += term;
        }
        count
    }
}
