//! What this member knows about the other members.

mod acks;
mod health;
mod transitions;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use vg_base::prelude::*;
use vg_limit::faults::NoFaults;

use crate::faults::PeerFaults;
use crate::link::Link;
use crate::{ClusterState, Ownership, Timing};

pub use health::Health;

/// Number of links from which on links are kept only for peers that are in the cluster
/// state, so that memory use stays bounded.
const LINKS_MAX: usize = 256;

/// The cluster state, together with what messages and the leased keys in the store tell
/// about the members.
#[derive(Debug, Clone)]
pub struct View<F: PeerFaults = NoFaults> {
    me: Member,
    timing: Timing,
    cluster_state: ClusterState,
    links: BTreeMap<Member, Link>,
    /// Serial number of the last message to any peer.
    serial: u64,
    /// When the last call that read the leased keys of the members was sent.
    keys_read: Option<Instant>,
    /// For each member whose leased key is absent, when the first call that showed this was
    /// sent.
    absent: BTreeMap<Member, Instant>,
    /// Latest epoch of the cluster state that each node has acknowledged.
    acks: BTreeMap<NodeId, Epoch>,
    /// Latest revision of the lists that each member has reported to be in force.
    revisions: BTreeMap<Member, Revision>,
    /// When the fence of each member became known here.
    fenced_since: BTreeMap<Member, Instant>,
    /// For each fenced member the epoch that must be acknowledged before its rights may be
    /// reassigned, and since when a majority of the voters is known to have acknowledged it.
    majority_acks: BTreeMap<Member, (Epoch, Instant)>,
    /// Since when each due transition has been due.
    due_since: Vec<(crate::Transition, Instant)>,
    faults: PhantomData<F>,
}

impl View {
    /// Creates the view of a member that has just started.
    pub fn new(me: Member, timing: Timing) -> View {
        View::with_faults(me, timing)
    }
}

impl<F: PeerFaults> View<F> {
    /// Creates a view with the injected faults of `F`, to test the tests.
    #[doc(hidden)]
    pub fn with_faults(me: Member, timing: Timing) -> View<F> {
        View {
            me,
            timing,
            cluster_state: ClusterState::default(),
            links: BTreeMap::new(),
            serial: 0,
            keys_read: None,
            absent: BTreeMap::new(),
            acks: BTreeMap::new(),
            revisions: BTreeMap::new(),
            fenced_since: BTreeMap::new(),
            majority_acks: BTreeMap::new(),
            due_since: Vec::new(),
            faults: PhantomData,
        }
    }

    /// Returns the latest cluster state.
    pub fn cluster_state(&self) -> &ClusterState {
        &self.cluster_state
    }

    /// Returns the ownership of a pool.
    pub fn owner(&self, pool: &PoolId) -> Option<&Ownership> {
        self.cluster_state.owners.get(pool)
    }

    /// Whether this member owns a pool according to the latest known cluster state.
    pub fn owns(&self, pool: &PoolId) -> bool {
        self.owner(pool).is_some_and(|ownership| ownership.owner == self.me)
    }

    /// Returns the pools that this member should stop dispatching and hand over, because
    /// they have a successor, are no longer in the lists, or this member is leaving.
    pub fn pools_to_release(&self) -> Vec<PoolId> {
        let leaving =
            self.cluster_state.member_state(&self.me) == Some(crate::MemberState::Leaving);
        let owned =
            self.cluster_state.owners.iter().filter(|(_, ownership)| ownership.owner == self.me);
        let releases = owned.filter(|(pool, ownership)| {
            leaving || ownership.successor.is_some() || !self.cluster_state.pools.contains(*pool)
        });
        releases.map(|(pool, _)| pool.clone()).collect()
    }

    /// Takes over a cluster state. An earlier epoch has no effect.
    pub fn apply(&mut self, now: Instant, cluster_state: &ClusterState) {
        if cluster_state.epoch <= self.cluster_state.epoch {
            return;
        }
        self.cluster_state = cluster_state.clone();
        self.note_ack(&self.me.clone(), cluster_state.epoch);
        let is_named = |node: &NodeId| {
            cluster_state.voters.contains(node)
                || cluster_state.members.keys().any(|member| member.node == *node)
        };
        self.acks.retain(|node, _| is_named(node));
        let (cluster_state, me) = (&self.cluster_state, &self.me);
        self.links.retain(|member, _| cluster_state.members.contains_key(member));
        self.absent.retain(|member, _| cluster_state.is_active(member));
        self.revisions.retain(|member, _| cluster_state.is_active(member) || member == me);
        self.fenced_since.retain(|member, _| cluster_state.members.contains_key(member));
        self.majority_acks.retain(|member, _| cluster_state.members.contains_key(member));
        for (member, record) in &cluster_state.members {
            if record.state.is_fenced() {
                self.fenced_since.entry(member.clone()).or_insert(now);
            }
        }
        self.refresh_majority_acks(now);
    }

    /// Records which members have a leased key in the store, as read by a call that was sent
    /// at `sent`.
    pub fn note_leases(&mut self, sent: Instant, present: &BTreeSet<Member>) {
        self.keys_read = Some(sent);
        self.absent.retain(|member, _| !present.contains(member));
        for member in self.cluster_state.active().filter(|member| !present.contains(*member)) {
            self.absent.entry(member.clone()).or_insert(sent);
        }
    }

    /// Records a message that is sent to a peer now. Returns its serial number, and the
    /// latest serial number received from the peer.
    pub(crate) fn next_serial(&mut self, now: Instant, peer: &Member) -> (u64, Option<u64>) {
        // All peers share one sequence, so that a number is never used twice, even if a link
        // was dropped and created again. An echo therefore always identifies one message.
        self.serial += 1;
        let serial = self.serial;
        (serial, self.link(peer).send(now, serial))
    }

    /// Returns the message history with a peer, which is created if it does not exist.
    pub(crate) fn link(&mut self, peer: &Member) -> &mut Link {
        if self.links.len() >= LINKS_MAX {
            let cluster_state = &self.cluster_state;
            self.links.retain(|member, _| cluster_state.members.contains_key(member));
        }
        self.links.entry(peer.clone()).or_default()
    }
}
