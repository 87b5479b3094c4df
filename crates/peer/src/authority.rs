//! Decides whether this member may act on its rights.

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use vg_base::prelude::*;
use vg_limit::faults::NoFaults;

use crate::faults::PeerFaults;
use crate::{AuthorityRefusal, ClusterState, StatusReport, Timing};

/// Decides whether this member may act on its rights, and whether its configuration is
/// current.
///
/// A valid lease is sufficient. Without a valid lease the member continues to act only
/// while a majority of the voters, itself included, reports that the store is out of
/// reach.
#[derive(Debug, Clone)]
pub struct Authority<F: PeerFaults = NoFaults> {
    me: Member,
    timing: Timing,
    /// When the last successful grant or renewal was sent, and when the lease expires.
    lease: Option<(Instant, Instant)>,
    last_contact: Option<Instant>,
    /// Whether the cluster state was read from the store, not only received from a peer.
    read_store: bool,
    active: bool,
    revoked: bool,
    state_epoch: Epoch,
    voters: BTreeSet<NodeId>,
    voters_epoch: Epoch,
    revision: Revision,
    /// When the revision in force was confirmed to be the latest.
    confirmed_at: Option<Instant>,
    /// A later revision that is not in force here yet, and when it was confirmed.
    pending: Option<(Revision, Instant)>,
    reports: BTreeMap<NodeId, PeerReport>,
    faults: PhantomData<F>,
}

/// The latest status report of a peer.
#[derive(Debug, Clone)]
struct PeerReport {
    from: Member,
    /// When the request that the report answers was sent; the report was made later.
    requested_at: Instant,
    report: StatusReport,
}

impl Authority {
    /// Creates the authority of a member that has just started.
    pub fn new(me: Member, timing: Timing) -> Authority {
        Authority::with_faults(me, timing)
    }
}

impl<F: PeerFaults> Authority<F> {
    /// Creates an authority with the injected faults of `F`, to test the tests.
    #[doc(hidden)]
    pub fn with_faults(me: Member, timing: Timing) -> Authority<F> {
        Authority {
            me,
            timing,
            lease: None,
            last_contact: None,
            read_store: false,
            active: false,
            revoked: false,
            state_epoch: Epoch::ZERO,
            voters: BTreeSet::new(),
            voters_epoch: Epoch::ZERO,
            revision: Revision::ZERO,
            confirmed_at: None,
            pending: None,
            reports: BTreeMap::new(),
            faults: PhantomData,
        }
    }

    /// Records that a grant or renewal of the lease succeeded whose request was sent at
    /// `sent`.
    ///
    /// The lease is counted from `sent`: the store grants it at some time after that, so the
    /// lease never ends later here than in the store, apart from the speed of the clocks.
    pub fn note_lease(&mut self, sent: Instant, ttl: Duration) {
        let expires = sent + ttl.min(self.timing.lease_ttl);
        if self.lease.is_none_or(|(_, known)| expires > known) {
            self.lease = Some((sent, expires));
        }
        self.note_contact(sent);
    }

    /// Records that the lease has expired according to the store.
    pub fn note_expiry(&mut self) {
        // The time of the last renewal is kept: it bounds how long the member may act
        // during an outage of the store.
        if let Some((sent, expires)) = &mut self.lease {
            *expires = *sent;
        }
    }

    /// Records that the store answered a call that was sent at `sent`.
    pub fn note_contact(&mut self, sent: Instant) {
        self.last_contact = self.last_contact.max(Some(sent));
    }

    /// Records that `revision` is the latest revision in the store, according to the answer
    /// to a call that was sent at `sent`.
    pub fn note_revision(&mut self, sent: Instant, revision: Revision) {
        self.note_contact(sent);
        self.confirm(sent, revision);
    }

    /// Records that the lists of `revision` are in force on this member. An earlier revision
    /// has no effect.
    pub fn set_revision(&mut self, revision: Revision) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let pending = self.pending.take_if(|(known, _)| *known <= revision);
        self.confirmed_at = pending.filter(|(known, _)| *known == revision).map(|(_, at)| at);
    }

    /// Takes over a cluster state that was read from the store or received from a peer. An
    /// earlier epoch has no effect.
    pub fn apply(&mut self, cluster_state: &ClusterState, from_store: bool) {
        self.read_store |= from_store;
        if cluster_state.epoch <= self.state_epoch {
            return;
        }
        self.state_epoch = cluster_state.epoch;
        self.active = cluster_state.is_active(&self.me);
        self.voters = cluster_state.voters.clone();
        self.voters_epoch = cluster_state.voters_epoch;
    }

    /// Records the status report of a peer, which answers a message sent at `requested_at`.
    pub fn note_report(&mut self, from: &Member, requested_at: Instant, report: StatusReport) {
        if let Some(age) = report.age_ms {
            // The peer measured the age after `requested_at`, so that the confirmation is
            // at least this recent.
            let at = requested_at.checked_sub(Duration::from_millis(age.into()));
            at.into_iter().for_each(|at| self.confirm(at, report.revision));
        }
        let known = self.reports.get(&from.node);
        if known.is_none_or(|known| (&known.from, known.requested_at) <= (from, requested_at)) {
            let peer_report = PeerReport { from: from.clone(), requested_at, report };
            self.reports.insert(from.node.clone(), peer_report);
        }
    }

    /// Revokes the authority permanently: the member has stopped or was fenced, or a later
    /// incarnation of its node runs.
    pub fn revoke(&mut self) {
        self.revoked = true;
    }

    /// Whether the store has answered a call that was sent within
    /// [`Timing::contact_timeout`].
    pub fn has_contact(&self, now: Instant) -> bool {
        self.last_contact.is_some_and(|at| now < at + self.timing.contact_timeout)
    }

    /// Whether the cluster state was read from the store since the start.
    pub fn has_read_store(&self) -> bool {
        self.read_store
    }

    /// Returns the revision that is in force on this member.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Checks that this member may act on its rights now.
    ///
    /// # Errors
    ///
    /// [`AuthorityRefusal`] with the reason if the member may not act.
    pub fn may_act(&self, now: Instant) -> Result<(), AuthorityRefusal> {
        if F::IGNORE_LEASE {
            return Ok(());
        }
        if !self.active || self.revoked {
            return Err(AuthorityRefusal::NotMember);
        }
        let Some((renewed, expires)) = self.lease else {
            return Err(AuthorityRefusal::LeaseExpired);
        };
        if now + self.timing.clock_margin < expires {
            return Ok(());
        }
        if now >= renewed + self.timing.outage_max {
            return Err(AuthorityRefusal::OutageTooLong);
        }
        // When the store is reachable again, the status reports of the peers still allow
        // this member to act until it has obtained another lease. Without them the reason
        // for the refusal is then the expired lease.
        let quorum = self.check_quorum(now);
        if self.has_contact(now) {
            quorum.map_err(|_| AuthorityRefusal::LeaseExpired)
        } else {
            quorum
        }
    }

    /// Checks that the lists in force on this member may be treated as the latest.
    ///
    /// They may for [`Timing::config_ttl`] after they were confirmed. After that they may only
    /// while a majority of the voters reports that the store is out of reach, no later
    /// revision is pending here, and none of these voters reports a later one.
    ///
    /// # Errors
    ///
    /// [`AuthorityRefusal::Stale`] if they may not, or [`AuthorityRefusal::NoQuorum`] if the
    /// store is out of reach and no majority of the voters reports the same.
    pub fn check_fresh(&self, now: Instant) -> Result<(), AuthorityRefusal> {
        if self.confirmed_at.is_some_and(|at| now < at + self.timing.config_ttl) {
            return Ok(());
        }
        let stale = AuthorityRefusal::Stale { revision: self.revision };
        if self.pending.is_some() {
            return Err(stale);
        }
        let quorum = self.check_quorum(now);
        if self.has_contact(now) {
            quorum.map_err(|_| stale.clone())?;
        } else {
            quorum?;
        }
        let behind = |peer_report: &PeerReport| peer_report.report.revision > self.revision;
        if self.supporters(now).any(behind) { Err(stale) } else { Ok(()) }
    }

    /// Returns the status report for a peer. `retired` tells whether the peer has lost its
    /// rights permanently; such a peer gets no vote.
    pub fn report(&self, now: Instant, retired: bool) -> StatusReport {
        let age = self.confirmed_at.map(|at| now.saturating_duration_since(at).as_millis());
        StatusReport {
            store_contact: self.has_contact(now),
            vote: !self.revoked
                && (self.read_store || F::VOTE_UNREAD)
                && (!retired || F::SUPPORT_FENCED),
            state_epoch: self.state_epoch,
            voters_epoch: self.voters_epoch,
            revision: self.revision,
            age_ms: age.and_then(|age| u32::try_from(age).ok()),
        }
    }

    /// Records that `revision` was the latest revision at `at`. A revision later than the one
    /// in force is pending until it is in force here.
    fn confirm(&mut self, at: Instant, revision: Revision) {
        if revision == self.revision {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        } else if revision > self.revision {
            self.pending = self.pending.max(Some((revision, at)));
        }
    }

    /// Checks that a majority of the voters, this node included, reports that the store is out
    /// of reach.
    fn check_quorum(&self, now: Instant) -> Result<(), AuthorityRefusal> {
        if F::SKIP_QUORUM {
            return Ok(());
        }
        let own_vote =
            self.voters.contains(&self.me.node) && self.read_store && !self.has_contact(now);
        let support = self.supporters(now).count() + usize::from(own_vote);
        let needed = self.voters.len() / 2 + 1;
        if support >= needed { Ok(()) } else { Err(AuthorityRefusal::NoQuorum { support, needed }) }
    }

    /// Returns the valid reports of other voters that they don't reach the store either.
    fn supporters(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        let in_time =
            move |peer_report: &PeerReport| now < peer_report.requested_at + self.timing.report_ttl;
        let known_voters = |peer_report: &PeerReport| {
            F::IGNORE_VOTERS_EPOCH || peer_report.report.voters_epoch <= self.voters_epoch
        };
        let votes = move |peer_report: &PeerReport| {
            peer_report.report.supports_peer() && in_time(peer_report) && known_voters(peer_report)
        };
        let others = self.reports.iter().filter(|(node, _)| **node != self.me.node);
        let others = others.filter(|(node, _)| self.voters.contains(*node));
        others.map(|(_, peer_report)| peer_report).filter(move |peer_report| votes(peer_report))
    }
}
