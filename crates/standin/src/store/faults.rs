//! Faults as a message.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_store::{CallKind, Fault, FaultControl, FaultOdds, RateLimits, StoreRevision};

/// `PUT /faults`: replaces all faults; `{}` ends them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaultsRequest {
    /// Whether every call is answered as unavailable.
    pub down: bool,
    /// Delay of each call.
    pub delay_ms: u64,
    /// Whether reads lag as a follower's do.
    pub stale: bool,
    /// Whether running watches deliver nothing.
    pub silent: bool,
    /// Whether running watches are cut, once.
    pub cut_watches: bool,
    /// Whether running watches are ended as compacted below this, once.
    pub compacted: Option<i64>,
    /// Most calls a second.
    pub rates: Option<RateLimits>,
    /// Faults of the next calls.
    pub script: Vec<ScriptedFault>,
    /// Faults at random.
    pub odds: Option<FaultOdds>,
    /// Seed of the random faults.
    pub seed: u64,
}

/// A fault of the next calls of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptedFault {
    /// Kind of the calls.
    pub call: CallKind,
    /// The fault.
    pub fault: FaultKind,
    /// How many calls meet it.
    pub times: usize,
    /// Delay of a late effect.
    #[serde(default)]
    pub late_ms: u64,
}

/// Name of a [`Fault`].
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
    /// Puts these faults in place of the present ones.
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
