//! One team's permits at one member.

use vg_base::prelude::*;

use crate::Balance;

/// The permits that one member holds and uses for one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holding {
    /// Upper limit over all members; `None` if the operators' lists do not name
    /// the team.
    pub limit: Option<Permits>,
    /// Whether more permits are granted over all members than the limit allows,
    /// as happens after the limit is lowered.
    pub over_limit: bool,
    /// Permits granted to this member by the permit ledger.
    pub granted: Balance,
    /// Permits received from peers, less those sent to peers.
    pub net_received: Balance,
    /// Permits of a proposed return that may have taken effect. They are not used
    /// until the outcome of the proposal is known.
    pub pending_return: Permits,
    /// Permits used by the runs that are not finished.
    pub running: Permits,
    /// Permits that waiting work could use immediately, including those that are
    /// idle at this member.
    pub wanted: Permits,
}

impl Holding {
    /// Returns the permits that this member may use.
    pub fn held(&self) -> Permits {
        (self.granted + self.net_received - self.pending_return.into()).permits()
    }

    /// Returns the permits that are held and that no run uses.
    pub fn idle(&self) -> Permits {
        self.held().saturating_sub(self.running)
    }

    /// Whether nothing is known of the team, so that the entry can be removed.
    pub(crate) fn is_empty(&self) -> bool {
        *self == Holding::default()
    }
}
