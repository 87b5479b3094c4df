//! Stamps that order events of processes whose clocks differ.

use std::sync::Mutex;
use std::time::SystemTime;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::Clock;

/// A hybrid logical time: wall time in microseconds, and a counter that orders
/// events within the same microsecond or behind a faster clock.
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
    /// Order within the same microsecond.
    pub count: u32,
}

/// Gives stamps that grow, also past those received from other processes.
///
/// After Kulkarni and others, "Logical Physical Clocks" (2014).
#[derive(Debug)]
pub struct HybridClock<C> {
    clock: C,
    last: Mutex<Stamp>,
}

impl<C: Clock> HybridClock<C> {
    /// Makes a hybrid clock over a wall clock.
    pub fn new(clock: C) -> HybridClock<C> {
        HybridClock { clock, last: Mutex::default() }
    }

    /// Returns a stamp later than every earlier one.
    pub fn stamp(&self) -> Stamp {
        self.advance(Stamp::default())
    }

    /// Takes in a stamp that came with a message; later stamps follow it.
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
