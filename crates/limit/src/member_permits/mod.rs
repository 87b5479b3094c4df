//! One member's view of its permits and the runs that use them.

mod apply;
mod propose;
mod runs;
mod transfer;

use std::collections::BTreeMap;
use std::marker::PhantomData;

use slotmap::SlotMap;
use vg_base::prelude::*;

use crate::faults::{NoFaults, PermitFaults};
use crate::peer_counters::PeerCounters;
use crate::{GrantAdjustment, Holding, PermitHint, Run, RunKey};

/// The permits that one member holds, uses, has sent and has received.
///
/// This type does not check the member's lease. The caller must call
/// [`MemberPermits::try_start`] only while the member has the authority to act.
#[derive(Debug, Clone)]
pub struct MemberPermits<F: PermitFaults = NoFaults> {
    me: Member,
    /// Epoch of the ledger that was applied last.
    epoch: Epoch,
    /// Whether this member's account is open.
    open: bool,
    /// Whether the member is stopping and returns its permits.
    leaving: bool,
    /// Serial number of the last adjustment that this member proposed.
    serial: u64,
    /// The adjustment that was proposed last, if its outcome is not known.
    pending: Option<PendingAdjustment>,
    holdings: BTreeMap<TeamId, Holding>,
    /// Transfer counters by peer.
    peers: BTreeMap<Member, PeerCounters>,
    /// Latest hints of each peer, adjusted by the permits that were since sent to the
    /// peer or requested from it.
    peer_hints: BTreeMap<Member, BTreeMap<TeamId, PermitHint>>,
    runs: SlotMap<RunKey, Run>,
    faults: PhantomData<F>,
}

/// An adjustment that may have taken effect.
#[derive(Debug, Clone)]
struct PendingAdjustment {
    adjustment: GrantAdjustment,
    /// Epoch of the ledger that the adjustment was proposed against. Once the
    /// ledger has a later epoch without the adjustment, it can never take effect.
    base_epoch: Epoch,
}

impl MemberPermits {
    /// Makes the empty state of a member that has just started.
    pub fn new(me: Member) -> MemberPermits {
        MemberPermits::with_faults(me)
    }
}

impl<F: PermitFaults> MemberPermits<F> {
    /// Makes the empty state with the faults of `F`, for tests that show that a
    /// fault is found.
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
            peers: BTreeMap::new(),
            peer_hints: BTreeMap::new(),
            runs: SlotMap::with_key(),
            faults: PhantomData,
        }
    }

    /// Returns the member that these permits belong to.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the epoch of the ledger that was applied last.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this member's account is open in the ledger that was applied last.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Returns the permits that are held and used for a team.
    pub fn holding(&self, team: &TeamId) -> Option<&Holding> {
        self.holdings.get(team)
    }

    /// Returns the permits that are held and used, by team.
    pub fn holdings(&self) -> impl Iterator<Item = (&TeamId, &Holding)> {
        self.holdings.iter()
    }

    /// Sets how many permits waiting work of a team could use immediately.
    pub fn set_wanted(&mut self, team: &TeamId, wanted: Permits) {
        if wanted == Permits::ZERO && !self.holdings.contains_key(team) {
            return;
        }
        self.holdings.entry(team.clone()).or_default().wanted = wanted;
    }

    /// Stops requesting permits. The next proposals return all idle ones.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }
}
