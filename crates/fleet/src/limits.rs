//! The configuration of the planner.

use std::time::Duration;

/// Time limits and thresholds of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// A host that is absent for this time is lost.
    pub lost_after: Duration,
    /// A host whose reboot or set-up takes this time is lost.
    pub reboot_timeout: Duration,
    /// The record of a lost host that is not in the host list for this time is
    /// removed.
    pub forget_after: Duration,
    /// A lost host that is in the host list counts as a host of its pool for this
    /// time. After that, the pool gets another host.
    pub replace_after: Duration,
    /// Fraction of the period after which a pool's wave begins.
    pub wave_start: f64,
    /// Fraction of the period since its last maintenance below which a host is not
    /// part of a wave.
    pub wave_floor: f64,
    /// A host is moved or lent only after the pool has lacked hosts for this time.
    pub move_after: Duration,
    /// A lent host returns after the pool has been able to spare it for this time.
    pub return_after: Duration,
    /// Fraction of the fleet that may be away without a plan at the same time
    /// before all new drains stop.
    pub failed_fraction: f64,
    /// Assumed mean time that a host is away for maintenance, from which the
    /// measured mean starts.
    pub default_away: Duration,
    /// Acceptable probability that more hosts fail during the maintenance of one
    /// host than the budget reserves.
    pub failure_probability: f64,
    /// Longest estimated remaining work with which a host is drained while its
    /// deadline is not near.
    pub max_remaining: Duration,
    /// A host is drained whatever work it runs when its deadline is this near.
    pub urgent_before: Duration,
}

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            lost_after: 5 * MINUTE,
            reboot_timeout: 30 * MINUTE,
            forget_after: 6 * HOUR,
            replace_after: DAY,
            wave_start: 0.85,
            wave_floor: 0.6,
            move_after: 15 * MINUTE,
            return_after: 30 * MINUTE,
            failed_fraction: 0.05,
            default_away: HOUR,
            failure_probability: 0.01,
            max_remaining: 2 * HOUR,
            urgent_before: 2 * DAY,
        }
    }
}
