//! Wall time in stored records.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Wall time in milliseconds since the Unix epoch.
///
/// Records outlive every process, so they can't hold monotonic time. No guarantee
/// depends on these times; they only order work and limit waits.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
)]
#[serde(transparent)]
#[display("{_0} ms")]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time since `earlier`, or zero if `earlier` is later, which
    /// happens when a clock is set back.
    pub fn since(self, earlier: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that is `duration` later.
    #[must_use]
    pub fn after(self, duration: Duration) -> WallTime {
        WallTime(self.0.saturating_add(millis(duration)))
    }
}

impl From<SystemTime> for WallTime {
    fn from(time: SystemTime) -> WallTime {
        WallTime(time.duration_since(SystemTime::UNIX_EPOCH).map_or(0, millis))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
