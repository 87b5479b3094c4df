//! The effect of a difference on a team.

use derive_more::Display;
use serde::Serialize;
use vg_base::prelude::*;

/// The effect of a difference on a team.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The team may do more than before.
    #[display("{_0} gains")]
    Gains(TeamId),
    /// The team may do less than before.
    #[display("{_0} loses")]
    Loses(TeamId),
    /// Work of the team that was accepted before is refused.
    #[display("work of {_0} will be refused")]
    Refused(TeamId),
    /// Work of the team that is sent with the withdrawn key is refused.
    #[display("work of {_0} with this key will be refused")]
    KeyRefused(TeamId),
    /// Work without a key that was accepted before is refused.
    #[display("work without a key will be refused")]
    RefusedWithoutKey,
}

impl Effect {
    /// Makes the effect that the team gains.
    pub(super) fn gains(team: &TeamId) -> Effect {
        Effect::Gains(team.clone())
    }

    /// Makes the effect that the team's work is refused.
    pub(super) fn refused(team: &TeamId) -> Effect {
        Effect::Refused(team.clone())
    }

    /// Makes the effect that the team gains if `more`, and that it loses otherwise.
    pub(super) fn gains_or_loses(team: &TeamId, more: bool) -> Effect {
        if more { Effect::gains(team) } else { Effect::Loses(team.clone()) }
    }
}
