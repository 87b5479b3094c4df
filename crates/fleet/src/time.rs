//! Wall time as it stands in records.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Wall time in milliseconds since the Unix epoch.
///
/// Records outlive every process, so that monotonic time can't stand in them.
/// No promise rests on these times: they order work and end waits.
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
    /// Returns the time since `earlier`, or zero when a clock went back.
    pub fn since(self, earlier: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time after `span`.
    #[must_use]
    pub fn after(self, span: Duration) -> WallTime {
        WallTime(self.0.saturating_add(millis(span)))
    }
}

impl From<SystemTime> for WallTime {
    fn from(time: SystemTime) -> WallTime {
        WallTime(time.duration_since(SystemTime::UNIX_EPOCH).map_or(0, millis))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
