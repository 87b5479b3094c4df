//! Whether this member may act on its rights.

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use vg_base::prelude::*;
use vg_limit::faults::NoFaults;

use crate::faults::PeerFaults;
use crate::{Book, StandingRefusal, Statement, Timing};

/// Whether this member may act on its rights, and whether its configuration is
/// current.
///
/// A valid lease is enough. Without one the member goes on only while a
/// majority of the voters, itself included, states that it has no contact to
/// the store either.
#[derive(Debug, Clone)]
pub struct Standing<F: PeerFaults = NoFaults> {
    me: Member,
    timing: Timing,
    /// When the last successful renewal was sent, and until when it counts.
    lease: Option<(Instant, Instant)>,
    contact: Option<Instant>,
    /// Whether the book was read from the store, not only from a peer.
    read: bool,
    member: bool,
    ended: bool,
    book: Epoch,
    voters: BTreeSet<NodeId>,
    voters_epoch: Epoch,
    revision: Revision,
    /// When the revision in force was confirmed to be the latest.
    confirmed: Option<Instant>,
    /// A later revision that is not in force yet, and its confirmation.
    coming: Option<(Revision, Instant)>,
    peers: BTreeMap<NodeId, Heard>,
    faults: PhantomData<F>,
}

/// The latest statement of a peer.
#[derive(Debug, Clone)]
struct Heard {
    from: Member,
    /// The statement was made after this instant.
    asked: Instant,
    statement: Statement,
}

impl Standing {
    /// Makes the standing of a member that has just started.
    pub fn new(me: Member, timing: Timing) -> Standing {
        Standing::with_faults(me, timing)
    }
}

impl<F: PeerFaults> Standing<F> {
    /// Makes a standing with the faults of `F`, for tests of the tests.
    #[doc(hidden)]
    pub fn with_faults(me: Member, timing: Timing) -> Standing<F> {
        Standing {
            me,
            timing,
            lease: None,
            contact: None,
            read: false,
            member: false,
            ended: false,
            book: Epoch::ZERO,
            voters: BTreeSet::new(),
            voters_epoch: Epoch::ZERO,
            revision: Revision::ZERO,
            confirmed: None,
            coming: None,
            peers: BTreeMap::new(),
            faults: PhantomData,
        }
    }

    /// Notes that a grant or renewal of the lease, sent at `sent`, succeeded.
    pub fn note_lease(&mut self, sent: Instant, ttl: Duration) {
        let until = sent + ttl.min(self.timing.lease);
        if self.lease.is_none_or(|(_, known)| until > known) {
            self.lease = Some((sent, until));
        }
        self.note_contact(sent);
    }

    /// Notes that the store says that the lease has lapsed.
    pub fn note_lapse(&mut self) {
        // The time of the last renewal stays: it bounds a stay of outage.
        if let Some((sent, until)) = &mut self.lease {
            *until = *sent;
        }
    }

    /// Notes that a store call sent at `sent` was answered.
    pub fn note_contact(&mut self, sent: Instant) {
        self.contact = self.contact.max(Some(sent));
    }

    /// Notes that the store, asked at `sent`, has `revision` as the latest.
    pub fn note_revision(&mut self, sent: Instant, revision: Revision) {
        self.note_contact(sent);
        self.confirm(sent, revision);
    }

    /// Notes that the lists of `revision` are in force here.
    pub fn set_revision(&mut self, revision: Revision) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let coming = self.coming.take_if(|(known, _)| *known <= revision);
        self.confirmed = coming.filter(|(known, _)| *known == revision).map(|(_, at)| at);
    }

    /// Takes in the book, from the store or from a peer.
    pub fn apply(&mut self, book: &Book, from_store: bool) {
        self.read |= from_store;
        if book.epoch <= self.book {
            return;
        }
        self.book = book.epoch;
        self.member = book.holds_rights(&self.me);
        self.voters = book.voters.clone();
        self.voters_epoch = book.voters_epoch;
    }

    /// Takes in what a peer states, in answer to something made at `asked`.
    pub fn note_statement(&mut self, from: &Member, asked: Instant, statement: Statement) {
        if let Some(age) = statement.age {
            // At the latest then: the peer's age was true after `asked`.
            let at = asked.checked_sub(Duration::from_millis(age.into()));
            at.into_iter().for_each(|at| self.confirm(at, statement.revision));
        }
        let known = self.peers.get(&from.node);
        if known.is_none_or(|known| (&known.from, known.asked) <= (from, asked)) {
            let heard = Heard { from: from.clone(), asked, statement };
            self.peers.insert(from.node.clone(), heard);
        }
    }

    /// Ends this member's standing for good: it has stopped, or a later
    /// incarnation of its node runs.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Whether the store has answered lately.
    pub fn has_contact(&self, now: Instant) -> bool {
        self.contact.is_some_and(|at| now < at + self.timing.contact)
    }

    /// Whether the book was read from the store since the start.
    pub fn has_read(&self) -> bool {
        self.read
    }

    /// Returns the revision in force here.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether this member may act on its rights now.
    ///
    /// # Errors
    ///
    /// [`StandingRefusal`] tells why not.
    pub fn may_act(&self, now: Instant) -> Result<(), StandingRefusal> {
        if F::IGNORE_LEASE {
            return Ok(());
        }
        if !self.member || self.ended {
            return Err(StandingRefusal::NotMember);
        }
        let Some((renewed, until)) = self.lease else {
            return Err(StandingRefusal::Lapsed);
        };
        if now + self.timing.margin < until {
            return Ok(());
        }
        if now >= renewed + self.timing.outage_max {
            return Err(StandingRefusal::OutageTooLong);
        }
        // When the store comes back, the peers' statements carry this member
        // over the time in which it obtains another lease.
        let outage = self.check_outage(now);
        if self.has_contact(now) { outage.map_err(|_| StandingRefusal::Lapsed) } else { outage }
    }

    /// Whether the lists in force here are shown to be the latest.
    ///
    /// # Errors
    ///
    /// [`StandingRefusal::Stale`] if not, or why the outage rule doesn't help.
    pub fn fresh(&self, now: Instant) -> Result<(), StandingRefusal> {
        if self.confirmed.is_some_and(|at| now < at + self.timing.fresh) {
            return Ok(());
        }
        let stale = StandingRefusal::Stale { revision: self.revision };
        if self.coming.is_some() {
            return Err(stale);
        }
        let outage = self.check_outage(now);
        if self.has_contact(now) {
            outage.map_err(|_| stale.clone())?;
        } else {
            outage?;
        }
        let behind = |heard: &Heard| heard.statement.revision > self.revision;
        if self.supporters(now).any(behind) { Err(stale) } else { Ok(()) }
    }

    /// Returns what to state to a peer, which is fenced for good or not.
    pub fn statement(&self, now: Instant, fenced: bool) -> Statement {
        let age = self.confirmed.map(|at| now.saturating_duration_since(at).as_millis());
        Statement {
            contact: self.has_contact(now),
            vote: !self.ended && (self.read || F::VOTE_UNREAD) && (!fenced || F::SUPPORT_FENCED),
            book: self.book,
            voters: self.voters_epoch,
            revision: self.revision,
            age: age.and_then(|age| u32::try_from(age).ok()),
        }
    }

    fn confirm(&mut self, at: Instant, revision: Revision) {
        if revision == self.revision {
            self.confirmed = self.confirmed.max(Some(at));
        } else if revision > self.revision {
            self.coming = self.coming.max(Some((revision, at)));
        }
    }

    fn check_outage(&self, now: Instant) -> Result<(), StandingRefusal> {
        if F::SKIP_QUORUM {
            return Ok(());
        }
        let own = self.voters.contains(&self.me.node) && self.read && !self.has_contact(now);
        let support = self.supporters(now).count() + usize::from(own);
        let needed = self.voters.len() / 2 + 1;
        if support >= needed { Ok(()) } else { Err(StandingRefusal::CutOff { support, needed }) }
    }

    /// Voters that have stated in time that they don't reach the store either.
    fn supporters(&self, now: Instant) -> impl Iterator<Item = &Heard> {
        let in_time = move |heard: &Heard| now < heard.asked + self.timing.grace;
        let same =
            |heard: &Heard| F::IGNORE_VOTERS_EPOCH || heard.statement.voters <= self.voters_epoch;
        let votes =
            move |heard: &Heard| heard.statement.supports() && in_time(heard) && same(heard);
        let others = self.peers.iter().filter(|(node, _)| **node != self.me.node);
        let others = others.filter(|(node, _)| self.voters.contains(*node));
        others.map(|(_, heard)| heard).filter(move |heard| votes(heard))
    }
}
