//! Probabilities of random faults.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::faulty::Fault;

/// Maximum delay of [`Fault::DelayedEffect`], in milliseconds.
const EFFECT_DELAY_MAX_MS: u64 = 20;

/// Probability of each fault, as a number of calls per thousand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultOdds {
    /// [`Fault::Unavailable`].
    pub unavailable: u32,
    /// [`Fault::RequestLost`].
    #[serde(rename = "before")]
    pub request_lost: u32,
    /// [`Fault::AnswerLost`].
    #[serde(rename = "after")]
    pub answer_lost: u32,
    /// [`Fault::DelayedEffect`] with a random delay.
    #[serde(rename = "late")]
    pub delayed_effect: u32,
    /// [`Fault::LeaseExpired`].
    #[serde(rename = "lapse")]
    pub lease_expired: u32,
}

impl FaultOdds {
    /// Returns the probability of any fault, as a number of calls per thousand.
    pub fn total(&self) -> u32 {
        let odds = [
            self.unavailable,
            self.request_lost,
            self.answer_lost,
            self.delayed_effect,
            self.lease_expired,
        ];
        odds.into_iter().fold(0, u32::saturating_add)
    }

    /// Draws the fault of the next call; `None` for no fault.
    pub(crate) fn draw(&self, rng: &mut SmallRng) -> Option<Fault> {
        let delayed =
            Fault::DelayedEffect(Duration::from_millis(rng.random_range(0..=EFFECT_DELAY_MAX_MS)));
        let mut remaining = rng.random_range(0..1000);
        let odds = [
            (self.unavailable, Fault::Unavailable),
            (self.request_lost, Fault::RequestLost),
            (self.answer_lost, Fault::AnswerLost),
            (self.delayed_effect, delayed),
            (self.lease_expired, Fault::LeaseExpired),
        ];
        for (odds, fault) in odds {
            if remaining < odds {
                return Some(fault);
            }
            remaining -= odds;
        }
        None
    }
}
