//! Times that membership rests on.

use snafu::Snafu;
use vg_base::prelude::*;

/// Times that membership rests on. All nodes have the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Time to live of a member's lease.
    pub lease_ttl: Duration,
    /// A member stops acting this long before its lease ends; covers clocks
    /// that run at different speeds.
    pub clock_margin: Duration,
    /// A statement of a peer counts for this long after it was asked for.
    pub report_ttl: Duration,
    /// A member is fenced after its leased key has been away for this long.
    pub fence_delay: Duration,
    /// The store counts as out of reach this long after its last answer was
    /// asked for.
    pub contact_timeout: Duration,
    /// A configuration counts as current this long after it was confirmed.
    pub config_ttl: Duration,
    /// Between heartbeats to a peer in the same region.
    pub near_period: Duration,
    /// Between heartbeats to a peer in another region.
    pub far_period: Duration,
    /// A peer that was not heard of for this long is suspected.
    pub suspect_timeout: Duration,
    /// Between one member's turn to propose a transition and the next's.
    pub proposal_stagger: Duration,
    /// Longest time from the start of a run to its end, over all queues; a
    /// run of a lost member is over after it.
    pub attempt_max: Duration,
    /// Longest time that members go on while the store is out of reach.
    pub outage_max: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease_ttl: Duration::from_secs(3),
            clock_margin: Duration::from_millis(300),
            report_ttl: Duration::from_millis(2500),
            fence_delay: Duration::from_millis(1500),
            contact_timeout: Duration::from_millis(1200),
            config_ttl: Duration::from_millis(2700),
            near_period: Duration::from_secs(1),
            far_period: Duration::from_secs(3),
            suspect_timeout: Duration::from_millis(3500),
            proposal_stagger: Duration::from_millis(300),
            attempt_max: Duration::from_secs(32),
            outage_max: Duration::from_secs(6 * 3600),
        }
    }
}

/// Times that don't fit together.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TimingError {
    /// A member would act on its lease after its rights have passed.
    #[snafu(display("quiet and grace together must be at least the lease"))]
    ReassignTooEarly,
    /// A member would never act.
    #[snafu(display("margin must be less than the lease"))]
    MarginTooLong,
    /// Statements would lapse before the next heartbeat brings new ones.
    #[snafu(display("grace must be more than twice the period between near peers"))]
    ReportTtlTooShort,
}

impl Timing {
    /// Checks that the times fit together.
    ///
    /// # Errors
    ///
    /// [`TimingError`] tells the first that doesn't.
    pub fn check(&self) -> Result<(), TimingError> {
        // Holds also if the key vanishes early, for instance by hand.
        if self.fence_delay + self.report_ttl < self.lease_ttl {
            return Err(TimingError::ReassignTooEarly);
        }
        if self.clock_margin >= self.lease_ttl {
            return Err(TimingError::MarginTooLong);
        }
        if self.report_ttl <= self.near_period * 2 {
            return Err(TimingError::ReportTtlTooShort);
        }
        Ok(())
    }

    /// Returns when the rights of a fenced member pass even if no majority
    /// answers, counted from when the fence became known.
    pub fn unacknowledged_wait(&self) -> Duration {
        self.outage_max + self.lease_ttl + self.report_ttl
    }
}
