//! Faults at random, from a seed.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::faulty::Fault;

/// Longest delay of a late effect.
const LATE_MAX_MS: u64 = 20;

/// How many of a thousand calls meet each fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultOdds {
    /// [`Fault::Unavailable`].
    pub unavailable: u32,
    /// [`Fault::RequestLost`].
    pub before: u32,
    /// [`Fault::AnswerLost`].
    pub after: u32,
    /// [`Fault::DelayedEffect`] with a random delay.
    pub late: u32,
    /// [`Fault::LeaseExpired`].
    pub lapse: u32,
}

impl FaultOdds {
    /// Returns how many of a thousand calls meet any fault.
    pub fn total(&self) -> u32 {
        let odds = [self.unavailable, self.before, self.after, self.late, self.lapse];
        odds.into_iter().fold(0, u32::saturating_add)
    }

    /// Draws the fault of the next call.
    pub(crate) fn draw(&self, rng: &mut SmallRng) -> Option<Fault> {
        let late = Fault::DelayedEffect(Duration::from_millis(rng.random_range(0..=LATE_MAX_MS)));
        let mut left = rng.random_range(0..1000);
        let odds = [
            (self.unavailable, Fault::Unavailable),
            (self.before, Fault::RequestLost),
            (self.after, Fault::AnswerLost),
            (self.late, late),
            (self.lapse, Fault::LeaseExpired),
        ];
        for (odds, fault) in odds {
            if left < odds {
                return Some(fault);
            }
            left -= odds;
        }
        None
    }
}
