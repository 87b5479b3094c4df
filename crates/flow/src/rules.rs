//! Times that decisions depend on.

use std::time::Duration;

/// Times that decisions depend on. Those of the surroundings come from the
/// settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Lease that a renewal asks for at a worker.
    pub lease: Duration,
    /// Longest time that a worker takes to stop a run.
    pub stop_time: Duration,
    /// Time after which a member of a gang gives up on the others.
    pub gang_wait: Duration,
    /// Time before its due time at which an occurrence may start.
    pub early: Duration,
    /// Time that a task takes longer far from its data.
    pub far_factor: f64,
    /// Time after which a lasting task that is not at work counts as away.
    pub notice: Duration,
    /// Time that a move of a machine takes.
    pub move_time: Duration,
    /// Time that maintenance of a machine takes.
    pub maintain_time: Duration,
    /// Time without orders to machines after a change of the leader.
    pub machine_hold: Duration,
    /// Time a serving task may exceed its target without a break.
    pub harm: Duration,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            lease: Duration::from_secs(4),
            stop_time: Duration::from_millis(400),
            gang_wait: Duration::from_secs(3),
            early: Duration::from_millis(250),
            far_factor: 3.0,
            notice: Duration::from_millis(4500),
            move_time: Duration::from_millis(1500),
            maintain_time: Duration::from_secs(2),
            machine_hold: Duration::from_millis(3500),
            harm: Duration::from_secs(4),
        }
    }
}

/// Life of a start: a worker refuses it that long after it was decided.
pub(crate) const START_LIFE: Duration = Duration::from_millis(1500);
/// Added where a worker's clock is compared with ours.
pub(crate) const CLOCK_MARGIN: Duration = Duration::from_millis(150);
/// Most by which a worker's clock is slow, as a factor of our time.
pub(crate) const CLOCK_DRIFT: f64 = 1.05;

impl Rules {
    /// Returns how long after a renewal was sent the lease may still hold.
    pub fn lease_bound(&self) -> Duration {
        self.lease.mul_f64(CLOCK_DRIFT) + CLOCK_MARGIN
    }
}
