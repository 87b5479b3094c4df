//! A hybrid logical clock, which orders events of processes whose wall clocks
//! differ.

use std::sync::Mutex;
use std::time::SystemTime;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::Clock;

/// A hybrid logical time. It consists of wall time in microseconds and a counter,
/// which orders events within one microsecond and events of a process whose clock
/// is behind a received stamp.
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
#[display("{micros}.{count}")]
pub struct Stamp {
    /// Microseconds since the Unix epoch.
    pub micros: u64,
    /// Order of stamps with the same `micros`.
    pub count: u32,
}

/// A hybrid logical clock. Each stamp is later than all earlier stamps and than
/// all stamps received from other processes.
///
/// The algorithm is that of Kulkarni and others, "Logical Physical Clocks"
/// (2014).
#[derive(Debug)]
pub struct HybridClock<C> {
    clock: C,
    last: Mutex<Stamp>,
}

impl<C: Clock> HybridClock<C> {
    /// Creates a hybrid clock that reads the wall time of `clock`.
    pub fn new(clock: C) -> HybridClock<C> {
        HybridClock { clock, last: Mutex::default() }
    }

    /// Returns a stamp that is later than all earlier and all observed stamps.
    pub fn stamp(&self) -> Stamp {
        self.advance(Stamp::default())
    }

    /// Records a stamp that was received with a message. All later stamps are
    /// later than `received`.
    pub fn observe(&self, received: Stamp) {
        self.advance(received);
    }

    fn advance(&self, received: Stamp) -> Stamp {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
        let mut last = self.last.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let before = (*last).max(received);
        *last = if micros > before.micros {
            Stamp { micros, count: 0 }
        } else {
            Stamp { micros: before.micros, count: before.count.saturating_add(1) }
        };
        *last
    }
}
