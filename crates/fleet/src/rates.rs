//! Measured failures and times of maintenance.

use vg_base::prelude::*;

use crate::{Limits, WallTime};

/// Half-life of the count of failures.
const HALF_LIFE: Duration = Duration::from_secs(7 * 24 * 60 * 60);
/// Weight of a new measurement of a time.
const NEW_WEIGHT: f64 = 0.1;
/// Most failures that a budget leaves room for.
const FAILURES_MAX: u32 = 64;

/// Failures and times of maintenance, measured by the planner.
///
/// They are soft: a new planner starts with the guesses of its limits.
#[derive(Debug, Clone)]
pub struct Measurements {
    failures: f64,
    seen: Option<WallTime>,
    away: f64,
}

impl Measurements {
    pub(crate) fn new(limits: &Limits) -> Measurements {
        Measurements { failures: 0.0, seen: None, away: limits.default_away.as_secs_f64() }
    }

    /// Counts hosts that failed.
    pub(crate) fn fail(&mut self, count: u32, now: WallTime) {
        let elapsed = now.since(self.seen.unwrap_or(now)).as_secs_f64();
        self.failures *= 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.failures += f64::from(count);
        self.seen = Some(now);
    }

    /// Counts the time that a host was away for maintenance.
    pub(crate) fn returned(&mut self, away: Duration) {
        self.away += NEW_WEIGHT * (away.as_secs_f64() - self.away);
    }

    /// Returns the mean time that a host is away for maintenance.
    pub fn mean_away(&self) -> Duration {
        Duration::from_secs_f64(self.away.max(0.0))
    }

    /// Returns the fewest failures so that more of them during one maintenance
    /// are less likely than `chance`, in a pool of `hosts` out of `fleet`.
    pub fn likely_failures(&self, hosts: usize, fleet: usize, chance: f64) -> u32 {
        // A count that halves each half-life settles at rate * half-life / ln 2.
        let span = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let mean = self.failures / span * self.away * hosts as f64 / fleet.max(1) as f64;
        let mut term = (-mean).exp();
        let mut below = term;
        let mut count = 0;
        while 1.0 - below > chance && count < FAILURES_MAX {
            count += 1;
            term *= mean / f64::from(count);
            below += term;
        }
        count
    }
}
