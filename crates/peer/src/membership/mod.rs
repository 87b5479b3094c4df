//! The state machine of one member, which combines its view, authority and permits.

mod hints;
mod messages;

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_limit::faults::NoFaults;
use vg_limit::{MemberPermits, RunKey};

use crate::faults::PeerFaults;
use crate::{Authority, AuthorityRefusal, ClusterState, MemberState, Timing, Transition, View};

use hints::HintFeed;
pub use messages::HeartbeatOutcome;

/// The view, the authority and the permits of one member.
#[derive(Debug, Clone)]
pub struct Membership<F: PeerFaults = NoFaults> {
    me: Member,
    view: View<F>,
    authority: Authority<F>,
    permits: MemberPermits<F>,
    hints: HintFeed,
    /// Whether this member hands its rights over and takes no new ones.
    leaving: bool,
    /// Whether this member has stopped and proposes its departure.
    departing: bool,
    /// Pools whose dispatch has stopped on this member, with the epoch of the ownership that
    /// is being handed over.
    stopped: BTreeMap<PoolId, Epoch>,
}

/// Why this member may not start an attempt now.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum StartRefusal {
    /// This member may not act on its rights.
    #[snafu(context(false), display("{source}"))]
    Authority {
        /// Why.
        source: AuthorityRefusal,
    },
    /// The team has too few permits on this member.
    #[snafu(context(false), display("{source}"))]
    Limit {
        /// Why.
        source: vg_limit::LimitRefusal,
    },
}

impl Membership {
    /// Creates the membership of a member that has just started.
    pub fn new(me: Member, timing: Timing) -> Membership {
        Membership::with_faults(me, timing)
    }
}

impl<F: PeerFaults> Membership<F> {
    /// Creates a membership with the injected faults of `F`, to test the tests.
    #[doc(hidden)]
    pub fn with_faults(me: Member, timing: Timing) -> Membership<F> {
        Membership {
            view: View::with_faults(me.clone(), timing.clone()),
            authority: Authority::with_faults(me.clone(), timing),
            permits: MemberPermits::with_faults(me.clone()),
            hints: HintFeed::default(),
            leaving: false,
            departing: false,
            stopped: BTreeMap::new(),
            me,
        }
    }

    /// Returns the identity of this member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the latest cluster state.
    pub fn cluster_state(&self) -> &ClusterState {
        self.view.cluster_state()
    }

    /// Returns what this member knows about the other members.
    pub fn view(&self) -> &View<F> {
        &self.view
    }

    /// Returns the authority, which decides whether this member may act.
    pub fn authority(&self) -> &Authority<F> {
        &self.authority
    }

    /// Returns the authority, to record the results of store calls.
    pub fn authority_mut(&mut self) -> &mut Authority<F> {
        &mut self.authority
    }

    /// Returns the permits of this member.
    pub fn permits(&self) -> &MemberPermits<F> {
        &self.permits
    }

    /// Returns the permits of this member, to finish attempts and to request more permits.
    pub fn permits_mut(&mut self) -> &mut MemberPermits<F> {
        &mut self.permits
    }

    /// Takes over a cluster state that was read from the store or received from a peer.
    pub fn apply(&mut self, now: Instant, cluster_state: &ClusterState, from_store: bool) {
        self.authority.apply(cluster_state, from_store);
        self.permits.apply(cluster_state.epoch, &cluster_state.ledger);
        self.view.apply(now, cluster_state);
        if self.cluster_state().is_retired(&self.me) {
            self.authority.revoke();
        }
        let is_current = |pool: &PoolId, epoch: &mut Epoch| {
            self.view.owns(pool)
                && self.view.owner(pool).is_some_and(|ownership| ownership.epoch == *epoch)
        };
        self.stopped.retain(is_current);
    }

    /// Whether this member was fenced or reclaimed, or can no longer join since a later
    /// incarnation of its node has joined. It then never acts again, and its process must
    /// continue as a new incarnation.
    pub fn is_retired(&self) -> bool {
        self.cluster_state().is_retired(&self.me)
    }

    /// Records which members have a leased key in the store, as read by a call that was sent
    /// at `sent`.
    pub fn note_leases(&mut self, sent: Instant, present: &BTreeSet<Member>) {
        self.authority.note_contact(sent);
        self.view.note_leases(sent, present);
    }

    /// Records that the lists of `revision` are in force on this member.
    pub fn set_revision(&mut self, revision: Revision) {
        self.authority.set_revision(revision);
        self.view.note_revision(&self.me.clone(), revision);
    }

    /// Raises the longest duration of an attempt to the longest one under the lists in force.
    /// The permits of a lost member stay unused for that time.
    pub fn raise_attempt_max(&mut self, longest: Duration) {
        self.view.raise_attempt_max(longest);
    }

    /// Returns the transitions to commit now, as one compare-and-swap against exactly the
    /// cluster state that was applied last.
    ///
    /// The commit must also fail if the leased key of one of
    /// [`Transition::fenced_members`] exists. If the outcome of the commit is unknown, read
    /// the cluster state, apply it and call this again.
    pub fn due_transitions(&mut self, now: Instant) -> Vec<Transition> {
        let view = &mut self.view;
        let changes =
            self.permits.propose_changes(view.cluster_state().epoch, &view.cluster_state().ledger);
        let mut transitions: Vec<Transition> =
            changes.into_iter().map(Transition::Ledger).collect();
        transitions.extend(view.due_transitions(now));
        transitions.extend(self.own_transitions());
        transitions
    }

    /// Returns the transitions that only this member proposes: it releases its stopped pools,
    /// leaves and departs.
    fn own_transitions(&self) -> Vec<Transition> {
        let member = self.me.clone();
        let release =
            |pool: &PoolId| Transition::Release { pool: pool.clone(), by: member.clone() };
        let mut transitions: Vec<Transition> = self.stopped.keys().map(release).collect();
        match self.cluster_state().member_state(&self.me) {
            Some(MemberState::Live) if self.leaving => {
                transitions.push(Transition::Leave { member })
            }
            Some(MemberState::Leaving) if self.departing => {
                transitions.push(Transition::Depart { member });
            }
            _ => {}
        }
        transitions
    }

    /// Returns the cluster state after those of the transitions that are allowed; `None` if
    /// none of them is.
    pub fn apply_transitions(&self, transitions: &[Transition]) -> Option<ClusterState> {
        self.cluster_state().apply_allowed::<F>(transitions)
    }

    /// Takes idle permits for an attempt, if this member may act.
    ///
    /// # Errors
    ///
    /// [`StartRefusal`] if the attempt may not start; no permits are taken then.
    pub fn try_start(
        &mut self,
        now: Instant,
        team: &TeamId,
        weight: Permits,
    ) -> Result<RunKey, StartRefusal> {
        self.authority.may_act(now)?;
        Ok(self.permits.try_start_many(team, weight)?)
    }

    /// Whether this member owns a pool, has not stopped dispatching it, and may act now.
    pub fn may_dispatch(&self, now: Instant, pool: &PoolId) -> bool {
        let owned = self.view.owns(pool) && !self.stopped.contains_key(pool);
        owned && self.authority.may_act(now).is_ok()
    }

    /// Records that this member has stopped dispatching a pool of
    /// [`View::pools_to_release`]. The handover of the pool is proposed from now on.
    pub fn stop_dispatch(&mut self, pool: &PoolId) {
        let ownership = self.view.owner(pool).filter(|ownership| ownership.owner == self.me);
        if let Some(epoch) = ownership.map(|ownership| ownership.epoch) {
            self.stopped.insert(pool.clone(), epoch);
        }
    }

    /// Starts to leave: this member takes no new rights and returns its idle permits.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.permits.start_leaving();
    }

    /// Starts the departure if this member is leaving, runs no attempts and owns no pools any
    /// more. The member then never acts again and proposes [`Transition::Depart`]. After that
    /// transition its permits can be reclaimed without a wait for attempts to finish.
    ///
    /// Returns whether this member departs.
    pub fn depart(&mut self) -> bool {
        let owns = self.cluster_state().owners.values().any(|ownership| ownership.owner == self.me);
        if self.leaving && !owns && self.permits.runs() == 0 {
            self.departing = true;
            self.authority.revoke();
        }
        self.departing
    }
}
