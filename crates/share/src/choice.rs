//! The order in which teams are asked for work when a slot is free.
//!
//! 1. While background work has less than its floor: the background work of
//!    the team that has had the least for it.
//! 2. Urgent work that is about to miss its latest start, earliest first, of
//!    teams that are not ahead of their share by more than the credit.
//! 3. The team that is furthest behind its share: its urgent work first, then
//!    its background work.

use std::cmp::Ordering;

use vg_base::prelude::*;

use crate::Ticket;
use crate::team::TeamKey;

/// Rank of a candidate; lower goes first.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Rank {
    /// Background work below its floor, by weighted slot time had for it.
    Floor(f64),
    /// Urgent work on its last call, by latest start.
    Urgent(Instant),
    /// Any work, by the team's position on the pool's clock.
    Fair(f64),
}

impl Rank {
    fn tier(&self) -> u8 {
        match self {
            Rank::Floor(_) => 0,
            Rank::Urgent(_) => 1,
            Rank::Fair(_) => 2,
        }
    }

    /// Compares two ranks.
    pub(crate) fn compare(&self, other: &Rank) -> Ordering {
        match (self, other) {
            (Rank::Floor(a), Rank::Floor(b)) | (Rank::Fair(a), Rank::Fair(b)) => a.total_cmp(b),
            (Rank::Urgent(a), Rank::Urgent(b)) => a.cmp(b),
            _ => self.tier().cmp(&other.tier()),
        }
    }
}

/// A team's work that could take the free slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) rank: Rank,
    pub(crate) team: TeamKey,
    pub(crate) ticket: Ticket,
}
