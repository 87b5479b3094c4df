//! Telling bad workers from bad jobs.

use std::collections::{HashMap, VecDeque};

use vg_base::prelude::*;

use crate::{Lane, Limits};

/// Successful probes that bring a quarantined worker back.
const PROBES: u32 = 2;

/// First quarantine; each further one is twice as long.
const QUARANTINE_FIRST: Duration = Duration::from_secs(60);

/// Longest quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(3600);

/// Latest outcomes of a lane that count.
const LANE_OUTCOMES: usize = 16;

/// Workers that a lane has to fail on before it is the suspect itself.
const LANE_WORKERS: usize = 3;

/// What a worker's failure led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing yet.
    Unchanged,
    /// The worker gets no more work until then.
    Quarantined {
        /// When it is probed.
        until: Instant,
    },
    /// The worker ran its probes well.
    Restored,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Good,
    Quarantined { until: Instant },
    Probing { good: u32 },
}

/// The health of one worker.
#[derive(Debug, Clone)]
pub struct Health {
    standing: Standing,
    /// Failures since the last success, by job and lane.
    failures: Vec<(JobId, Lane)>,
    strikes: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health { standing: Standing::Good, failures: Vec::new(), strikes: 0 }
    }
}

impl Health {
    /// Whether the worker may get a job, with `running` on it already.
    pub fn admits(&self, limits: &Limits, idempotent: bool, running: usize, now: Instant) -> bool {
        match self.standing {
            Standing::Good if self.failures.len() < limits.probation_failures => true,
            Standing::Good | Standing::Probing { .. } => idempotent && running == 0,
            Standing::Quarantined { until } => now >= until && idempotent && running == 0,
        }
    }

    /// Whether the worker is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.standing != Standing::Good
    }

    /// Notes that a job ran well.
    pub fn record_success(&mut self) -> HealthChange {
        self.failures.clear();
        match &mut self.standing {
            Standing::Good => {
                self.strikes = 0;
                HealthChange::Unchanged
            }
            Standing::Quarantined { .. } => {
                self.standing = Standing::Probing { good: 1 };
                HealthChange::Unchanged
            }
            Standing::Probing { good } => {
                *good += 1;
                if *good < PROBES {
                    return HealthChange::Unchanged;
                }
                self.standing = Standing::Good;
                HealthChange::Restored
            }
        }
    }

    /// Notes that a job failed whose lane does well elsewhere.
    pub fn record_failure(
        &mut self,
        limits: &Limits,
        job: JobId,
        lane: &Lane,
        now: Instant,
    ) -> HealthChange {
        // It was started before the quarantine and says nothing new.
        if matches!(self.standing, Standing::Quarantined { until } if now < until) {
            return HealthChange::Unchanged;
        }
        if !self.failures.iter().any(|(each, _)| *each == job) {
            self.failures.push((job, lane.clone()));
        }
        let probe = self.is_quarantined();
        if !probe && !self.is_conclusive(limits) {
            return HealthChange::Unchanged;
        }
        let period = QUARANTINE_FIRST * 2_u32.saturating_pow(self.strikes.min(16));
        let until = now + period.min(QUARANTINE_MAX);
        self.strikes += 1;
        self.failures.clear();
        self.standing = Standing::Quarantined { until };
        HealthChange::Quarantined { until }
    }

    /// Enough jobs failed in a row, and not all of one team's queue.
    fn is_conclusive(&self, limits: &Limits) -> bool {
        let first = self.failures.first().map(|(_, lane)| lane);
        let unlike = self.failures.iter().any(|(_, lane)| Some(lane) != first);
        self.failures.len() >= limits.quarantine_failures && unlike
    }
}

/// The latest outcomes of each lane, over all workers.
#[derive(Debug, Clone, Default)]
pub(crate) struct LaneHealth {
    outcomes: HashMap<Lane, VecDeque<(HostId, bool)>>,
}

impl LaneHealth {
    pub(crate) fn note(&mut self, lane: &Lane, worker: &HostId, good: bool) {
        let outcomes = self.outcomes.entry(lane.clone()).or_default();
        outcomes.push_back((worker.clone(), good));
        if outcomes.len() > LANE_OUTCOMES {
            outcomes.pop_front();
        }
    }

    /// Whether the lane's jobs fail wherever they run: most of the latest
    /// failed, on several workers.
    pub(crate) fn is_bad(&self, lane: &Lane) -> bool {
        let Some(outcomes) = self.outcomes.get(lane) else { return false };
        let mut workers: Vec<&HostId> =
            outcomes.iter().filter(|(_, good)| !good).map(|(worker, _)| worker).collect();
        let failed = workers.len();
        workers.sort_unstable();
        workers.dedup();
        workers.len() >= LANE_WORKERS && 2 * failed > outcomes.len()
    }
}
