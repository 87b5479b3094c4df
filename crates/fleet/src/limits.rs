//! Time limits and thresholds of the planner.

use std::time::Duration;

/// Time limits and thresholds of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// A host that is away for this time is lost.
    pub lost_after: Duration,
    /// A host that reboots or is set up for this time is lost.
    pub reboot_timeout: Duration,
    /// A lost host that is not listed for this time is forgotten.
    pub forget_after: Duration,
    /// A lost host that is listed belongs to its pool for this time; it is then
    /// replaced.
    pub replace_after: Duration,
    /// Part of a period after which a pool's wave begins.
    pub wave_start: f64,
    /// Part of a period below which a host is left out of a wave.
    pub wave_floor: f64,
    /// A lack of hosts lasts this long before a host is moved or lent for it.
    pub move_after: Duration,
    /// A pool can spare a lent host for this long before it goes back.
    pub return_after: Duration,
    /// Part of the fleet that may fail at once before all new drains stop.
    pub failed_fraction: f64,
    /// Time that is taken for a host's way through maintenance before one was
    /// measured.
    pub default_away: Duration,
    /// Chance that more hosts fail during one host's maintenance than the
    /// budget leaves room for.
    pub failure_probability: f64,
    /// Longest remaining work with which a host is drained while it has time.
    pub max_remaining: Duration,
    /// A host is drained whatever it runs when its deadline is this near.
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
