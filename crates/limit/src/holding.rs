//! One team's units at one member.

use vg_base::prelude::*;

use crate::Balance;

/// What a member holds and runs for one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holding {
    /// Upper limit over all members; `None`: the lists don't name the team.
    pub limit: Option<Units>,
    /// Whether more is granted over all members than the limit allows.
    pub over: bool,
    /// Granted to this member by the book.
    pub granted: Balance,
    /// Received from peers less sent to peers.
    pub net: Balance,
    /// Reserved for a return that may have taken effect.
    pub returning: Units,
    /// Units of the runs that are not finished.
    pub running: Units,
    /// Units that waiting work would use at once.
    pub wanted: Units,
}

impl Holding {
    /// Returns the units that may run here.
    pub fn held(&self) -> Units {
        (self.granted + self.net - self.returning.into()).units()
    }

    /// Returns the units that are held and run nothing.
    pub fn idle(&self) -> Units {
        self.held().saturating_sub(self.running)
    }

    pub(crate) fn is_blank(&self) -> bool {
        *self == Holding::default()
    }
}
