//! One member's own account of units and runs.

mod apply;
mod moves;
mod propose;
mod runs;

use std::collections::BTreeMap;
use std::marker::PhantomData;

use slotmap::SlotMap;
use vg_base::prelude::*;

use crate::faults::{NoFaults, PermitFaults};
use crate::pair::Pair;
use crate::{GrantAdjustment, Holding, PermitHint, Run, RunKey};

/// What one member holds, runs, has sent and has received.
///
/// The owner of a ledger sees to it that [`MemberPermits::try_start`] is called only
/// while the member's standing lets it act.
#[derive(Debug, Clone)]
pub struct MemberPermits<F: PermitFaults = NoFaults> {
    me: Member,
    /// Epoch of the book that was applied last.
    epoch: Epoch,
    /// Whether this member's account is open.
    open: bool,
    leaving: bool,
    /// Serial number of the last adjustment that was proposed.
    serial: u64,
    pending: Option<Pending>,
    holdings: BTreeMap<TeamId, Holding>,
    pairs: BTreeMap<Member, Pair>,
    advice: BTreeMap<Member, BTreeMap<TeamId, PermitHint>>,
    runs: SlotMap<RunKey, Run>,
    faults: PhantomData<F>,
}

/// An adjustment that may have taken effect.
#[derive(Debug, Clone)]
struct Pending {
    adjust: GrantAdjustment,
    /// Epoch of the book that it was proposed against. Once the book has a
    /// later epoch without it, it can never take effect.
    base: Epoch,
}

impl MemberPermits {
    /// Makes the empty ledger of a member that has just started.
    pub fn new(me: Member) -> MemberPermits {
        MemberPermits::with_faults(me)
    }
}

impl<F: PermitFaults> MemberPermits<F> {
    /// Makes a ledger with the faults of `F`, for tests of the tests.
    #[doc(hidden)]
    pub fn with_faults(me: Member) -> MemberPermits<F> {
        MemberPermits {
            me,
            epoch: Epoch::ZERO,
            open: false,
            leaving: false,
            serial: 0,
            pending: None,
            holdings: BTreeMap::new(),
            pairs: BTreeMap::new(),
            advice: BTreeMap::new(),
            runs: SlotMap::with_key(),
            faults: PhantomData,
        }
    }

    /// Returns the member that this ledger belongs to.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the epoch of the book that was applied last.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this member's account is open in that book.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Returns what is held and runs for a team.
    pub fn holding(&self, team: &TeamId) -> Option<&Holding> {
        self.holdings.get(team)
    }

    /// Returns what is held and runs, by team.
    pub fn holdings(&self) -> impl Iterator<Item = (&TeamId, &Holding)> {
        self.holdings.iter()
    }

    /// States how many units waiting work of a team would use at once.
    pub fn set_wanted(&mut self, team: &TeamId, wanted: Units) {
        if wanted == Units::ZERO && !self.holdings.contains_key(team) {
            return;
        }
        self.holdings.entry(team.clone()).or_default().wanted = wanted;
    }

    /// Stops taking units; idle ones are given back from now on.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }
}
