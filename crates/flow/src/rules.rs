//! Times and factors that decisions depend on.

use std::time::Duration;

/// Times and factors that decisions depend on. Those of the environment come
/// from the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulingRules {
    /// Lease that a renewal requests from a worker.
    pub lease: Duration,
    /// Longest lease that a worker takes; it shortens a longer one.
    pub lease_max: Duration,
    /// Maximum time that a worker takes to stop an attempt.
    pub stop_time: Duration,
    /// Time before its due time at which an occurrence may start.
    pub early_start: Duration,
    /// Factor by which a task takes longer far from its data.
    pub remote_factor: f64,
    /// Time that a move of a machine takes.
    pub move_time: Duration,
    /// Time that maintenance of a machine takes.
    pub maintain_time: Duration,
    /// Time after a takeover in which no commands are sent to machines.
    pub machine_hold: Duration,
}

impl Default for SchedulingRules {
    fn default() -> SchedulingRules {
        SchedulingRules {
            lease: Duration::from_secs(4),
            lease_max: Duration::from_secs(10),
            stop_time: Duration::from_millis(400),
            early_start: Duration::from_millis(250),
            remote_factor: 3.0,
            move_time: Duration::from_millis(1500),
            maintain_time: Duration::from_secs(2),
            machine_hold: Duration::from_millis(3500),
        }
    }
}

/// Validity of a start command: a worker refuses it that long after the
/// decision.
pub(crate) const START_VALIDITY: Duration = Duration::from_millis(1500);
/// Added where a worker's clock is compared with this host's clock.
pub(crate) const WORKER_CLOCK_MARGIN: Duration = Duration::from_millis(150);
/// Upper bound of the time that passes on this host's clock while one unit of
/// time passes on a worker's slow clock.
pub(crate) const MAX_CLOCK_DRIFT: f64 = 1.05;

/// Returns the longest time on this host's clock for which a time span on a
/// worker's clock can last.
pub(crate) fn clock_bound(time: Duration) -> Duration {
    time.mul_f64(MAX_CLOCK_DRIFT) + WORKER_CLOCK_MARGIN
}

impl SchedulingRules {
    /// Returns how long after a renewal was sent the lease may still be valid.
    pub fn lease_bound(&self) -> Duration {
        clock_bound(self.lease)
    }

    /// Returns how long a lease may still be valid that a late call to an earlier incarnation
    /// of a worker has renewed, which is as long as workers permit.
    pub fn late_lease_bound(&self) -> Duration {
        clock_bound(self.lease_max)
    }
}
