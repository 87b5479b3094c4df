//! Candidates for a free slot and their ranks. A candidate is a team's next item.
//!
//! Candidates are considered in this order:
//!
//! 1. While background work runs in fewer slots than its floor: background work
//!    of the team that has used the least weighted slot time for such work.
//! 2. Urgent work whose latest start is near, earliest first, of teams that are
//!    not ahead of their share by more than the credit.
//! 3. Work of the team that is furthest behind its share: its urgent work first,
//!    then its background work.

use std::cmp::Ordering;

use vg_base::prelude::*;

use crate::Ticket;
use crate::team::TeamKey;

/// Rank of a candidate. The candidate with the lowest rank goes first.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Rank {
    /// Background work below its floor, by the team's weighted slot time of
    /// background work.
    BackgroundFloor(f64),
    /// Urgent work whose latest start is near, by latest start.
    Urgent(Instant),
    /// Any work, by the team's position.
    Fair(f64),
}

impl Rank {
    /// Returns the number of the rank's group in the order of this module.
    fn tier(&self) -> u8 {
        match self {
            Rank::BackgroundFloor(_) => 0,
            Rank::Urgent(_) => 1,
            Rank::Fair(_) => 2,
        }
    }

    /// Compares two ranks.
    pub(crate) fn compare(&self, other: &Rank) -> Ordering {
        match (self, other) {
            (Rank::BackgroundFloor(a), Rank::BackgroundFloor(b))
            | (Rank::Fair(a), Rank::Fair(b)) => a.total_cmp(b),
            (Rank::Urgent(a), Rank::Urgent(b)) => a.cmp(b),
            _ => self.tier().cmp(&other.tier()),
        }
    }
}

/// An item that could get the free slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) rank: Rank,
    pub(crate) team: TeamKey,
    pub(crate) ticket: Ticket,
}
