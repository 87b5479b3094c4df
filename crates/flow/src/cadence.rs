//! How often the passes are made that look at every attempt, worker or machine.
//!
//! Tasks are placed in each round. The other passes react to reports, which arrive
//! some times a second, and to times of a second or more.

use vg_base::prelude::*;

/// Interval between passes over all attempts.
const ATTEMPT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between passes over all workers and machines.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// When the passes were last made.
#[derive(Debug, Default)]
pub(crate) struct Cadence {
    attempts: Option<Instant>,
    fleet: Option<Instant>,
}

impl Cadence {
    /// Whether a pass over all attempts is due; notes that it is made.
    pub(crate) fn is_attempt_check(&mut self, now: Instant) -> bool {
        is_due(&mut self.attempts, ATTEMPT_CHECK_INTERVAL, now)
    }

    /// Whether a pass over workers and machines is due; notes that it is made.
    pub(crate) fn is_fleet_check(&mut self, now: Instant) -> bool {
        is_due(&mut self.fleet, FLEET_CHECK_INTERVAL, now)
    }
}

fn is_due(last: &mut Option<Instant>, interval: Duration, now: Instant) -> bool {
    let due = last.is_none_or(|at| now.saturating_duration_since(at) >= interval);
    if due {
        *last = Some(now);
    }
    due
}
