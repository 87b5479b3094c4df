//! Time limits and periods of membership.

use snafu::Snafu;
use vg_base::prelude::*;

/// Time limits and periods of membership. They must be the same on all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Time to live of the lease of a member.
    pub lease_ttl: Duration,
    /// A member stops acting this long before its lease expires. The margin allows for
    /// clocks that run at different speeds.
    pub clock_margin: Duration,
    /// A status report of a peer is valid for this long after it was requested.
    pub report_ttl: Duration,
    /// A member is fenced after its leased key has been absent for this long.
    pub fence_delay: Duration,
    /// The store is considered out of reach this long after the request of the last
    /// answered call was sent.
    pub contact_timeout: Duration,
    /// A configuration is considered current for this long after it was confirmed.
    pub config_ttl: Duration,
    /// Period of heartbeats to a peer in the same region.
    pub near_period: Duration,
    /// Period of heartbeats to a peer in another region.
    pub far_period: Duration,
    /// A peer is suspected to have failed after it has sent no message for this long.
    pub suspect_timeout: Duration,
    /// Time between the turns of two members to propose the same transition.
    pub proposal_stagger: Duration,
    /// Longest time from the start of an attempt to its end, over all queues. After this
    /// time all attempts of a lost member have finished.
    pub attempt_max: Duration,
    /// Longest time that members continue to act while the store is out of reach.
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

/// Settings of [`Timing`] that contradict each other.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TimingError {
    /// A member could still act on its lease after its rights were reassigned.
    #[snafu(display("the fence delay plus the report TTL must be at least the lease TTL"))]
    ReassignTooEarly,
    /// A member could never act, since it would stop before its lease starts.
    #[snafu(display("the clock margin must be less than the lease TTL"))]
    MarginTooLong,
    /// Status reports would expire before the next heartbeat renews them.
    #[snafu(display(
        "the report TTL must be more than twice the heartbeat period within a region"
    ))]
    ReportTtlTooShort,
}

impl Timing {
    /// Checks that the settings don't contradict each other.
    ///
    /// # Errors
    ///
    /// [`TimingError`] for the first contradiction that is found.
    pub fn check(&self) -> Result<(), TimingError> {
        // The sum covers the whole lease, so that the check also holds if the leased key
        // disappears early, for example because someone deleted it by hand.
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

    /// Returns the time from when a fence became known until the rights of the fenced
    /// member may be reassigned even if no majority of the voters has acknowledged it.
    pub fn unacknowledged_wait(&self) -> Duration {
        self.outage_max + self.lease_ttl + self.report_ttl
    }
}
