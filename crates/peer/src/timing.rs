//! Times that membership rests on.

use snafu::Snafu;
use vg_base::prelude::*;

/// Times that membership rests on. All nodes have the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Time to live of a member's lease.
    pub lease: Duration,
    /// A member stops acting this long before its lease ends; covers clocks
    /// that run at different speeds.
    pub margin: Duration,
    /// A statement of a peer counts for this long after it was asked for.
    pub grace: Duration,
    /// A member is fenced after its leased key has been away for this long.
    pub quiet: Duration,
    /// The store counts as out of reach this long after its last answer was
    /// asked for.
    pub contact: Duration,
    /// A configuration counts as current this long after it was confirmed.
    pub fresh: Duration,
    /// Between heartbeats to a peer in the same region.
    pub near_period: Duration,
    /// Between heartbeats to a peer in another region.
    pub far_period: Duration,
    /// A peer that was not heard of for this long is suspected.
    pub suspect: Duration,
    /// Between one member's turn to propose a transition and the next's.
    pub stagger: Duration,
    /// Longest time from the start of a run to its end, over all queues; a
    /// run of a lost member is over after it.
    pub run_max: Duration,
    /// Longest time that members go on while the store is out of reach.
    pub outage_max: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease: Duration::from_secs(3),
            margin: Duration::from_millis(300),
            grace: Duration::from_millis(2500),
            quiet: Duration::from_millis(1500),
            contact: Duration::from_millis(1200),
            fresh: Duration::from_millis(2700),
            near_period: Duration::from_secs(1),
            far_period: Duration::from_secs(3),
            suspect: Duration::from_millis(3500),
            stagger: Duration::from_millis(300),
            run_max: Duration::from_secs(32),
            outage_max: Duration::from_secs(6 * 3600),
        }
    }
}

/// Times that don't fit together.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TimingError {
    /// A member would act on its lease after its rights have passed.
    #[snafu(display("quiet and grace together must be at least the lease"))]
    PassTooEarly,
    /// A member would never act.
    #[snafu(display("margin must be less than the lease"))]
    Margin,
    /// Statements would lapse before the next heartbeat brings new ones.
    #[snafu(display("grace must be more than twice the period between near peers"))]
    Grace,
}

impl Timing {
    /// Checks that the times fit together.
    ///
    /// # Errors
    ///
    /// [`TimingError`] tells the first that doesn't.
    pub fn check(&self) -> Result<(), TimingError> {
        // Holds also if the key vanishes early, for instance by hand.
        if self.quiet + self.grace < self.lease {
            return Err(TimingError::PassTooEarly);
        }
        if self.margin >= self.lease {
            return Err(TimingError::Margin);
        }
        if self.grace <= self.near_period * 2 {
            return Err(TimingError::Grace);
        }
        Ok(())
    }

    /// Returns when the rights of a fenced member pass even if no majority
    /// answers, counted from when the fence became known.
    pub fn pass_alone(&self) -> Duration {
        self.outage_max + self.lease + self.grace
    }
}
