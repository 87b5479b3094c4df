//! Fault injection for the store over HTTP.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_store::{CallKind, Fault, FaultControl, FaultOdds, RateLimits, StoreRevision};

/// Body of `PUT /faults`, which replaces all faults; `{}` ends them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaultsRequest {
    /// Whether every call fails as unavailable.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Whether reads return stale data, as from a follower that lags.
    pub stale: bool,
    /// Whether open watches deliver nothing.
    pub silent: bool,
    /// Whether the watches that are open now are closed with an error.
    pub cut_watches: bool,
    /// Oldest available revision with which the watches that are open now are ended
    /// as compacted.
    pub compacted: Option<i64>,
    /// Maximum numbers of calls per second.
    pub rates: Option<RateLimits>,
    /// Faults of the next calls.
    pub script: Vec<ScriptedFault>,
    /// Probabilities of random faults.
    pub odds: Option<FaultOdds>,
    /// Seed of the generator of random faults.
    pub seed: u64,
}

/// A fault of the next calls of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptedFault {
    /// Kind of the calls.
    pub call: CallKind,
    /// The fault that is injected.
    pub fault: FaultKind,
    /// Number of calls that are affected.
    pub times: usize,
    /// Delay of [`FaultKind::DelayedEffect`], in milliseconds; other faults ignore it.
    #[serde(default)]
    pub late_ms: u64,
}

/// Kind of a [`Fault`], without its parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// [`Fault::Unavailable`].
    Unavailable,
    /// [`Fault::Throttled`].
    Throttled,
    /// [`Fault::RequestLost`].
    #[serde(rename = "lost-before")]
    RequestLost,
    /// [`Fault::AnswerLost`].
    #[serde(rename = "lost-after")]
    AnswerLost,
    /// [`Fault::DelayedEffect`].
    #[serde(rename = "late")]
    DelayedEffect,
    /// [`Fault::LeaseExpired`].
    #[serde(rename = "lapse")]
    LeaseExpired,
}

impl ScriptedFault {
    fn fault(&self) -> Fault {
        match self.fault {
            FaultKind::Unavailable => Fault::Unavailable,
            FaultKind::Throttled => Fault::Throttled,
            FaultKind::RequestLost => Fault::RequestLost,
            FaultKind::AnswerLost => Fault::AnswerLost,
            FaultKind::DelayedEffect => Fault::DelayedEffect(Duration::from_millis(self.late_ms)),
            FaultKind::LeaseExpired => Fault::LeaseExpired,
        }
    }
}

impl StoreFaultsRequest {
    /// Replaces the current faults with these.
    pub(crate) fn apply(&self, faults: &FaultControl) {
        faults.clear();
        faults.set_down(self.down);
        faults.set_delay(Duration::from_millis(self.delay_ms));
        faults.set_stale(self.stale);
        faults.set_silent(self.silent);
        faults.set_rates(self.rates);
        for each in &self.script {
            faults.script(each.call, each.fault(), each.times);
        }
        if let Some(odds) = self.odds {
            faults.set_odds(self.seed, odds);
        }
        if self.cut_watches {
            faults.cut_watches();
        }
        if let Some(oldest) = self.compacted {
            faults.compact_watches(StoreRevision(oldest));
        }
    }
}
