//! What this member knows of the others.

mod acks;
mod actions;
mod health;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use vg_base::prelude::*;
use vg_limit::faults::NoFaults;

use crate::faults::PeerFaults;
use crate::link::Link;
use crate::{Book, Ownership, Timing};

pub use health::Health;

/// Links beyond this number are kept only for members of the book.
const LINKS_MAX: usize = 256;

/// The book together with what messages and the store's leases tell.
#[derive(Debug, Clone)]
pub struct View<F: PeerFaults = NoFaults> {
    me: Member,
    timing: Timing,
    book: Book,
    links: BTreeMap<Member, Link>,
    /// Number of the last message to any peer.
    serial: u64,
    /// When the leased keys were read last.
    listed: Option<Instant>,
    /// Members whose leased key is away, since when.
    absent: BTreeMap<Member, Instant>,
    /// Latest epoch of the book that each node is known to know.
    acks: BTreeMap<NodeId, Epoch>,
    /// Latest revision of the lists that each member has stated.
    revisions: BTreeMap<Member, Revision>,
    /// When each fence became known here.
    fences: BTreeMap<Member, Instant>,
    /// Since when a majority of voters knows an epoch that lets a fenced
    /// member's rights pass.
    passing: BTreeMap<Member, (Epoch, Instant)>,
    /// Since when each transition has been due.
    due: Vec<(crate::Transition, Instant)>,
    faults: PhantomData<F>,
}

impl View {
    /// Makes the view of a member that has just started.
    pub fn new(me: Member, timing: Timing) -> View {
        View::with_faults(me, timing)
    }
}

impl<F: PeerFaults> View<F> {
    /// Makes a view with the faults of `F`, for tests of the tests.
    #[doc(hidden)]
    pub fn with_faults(me: Member, timing: Timing) -> View<F> {
        View {
            me,
            timing,
            book: Book::default(),
            links: BTreeMap::new(),
            serial: 0,
            listed: None,
            absent: BTreeMap::new(),
            acks: BTreeMap::new(),
            revisions: BTreeMap::new(),
            fences: BTreeMap::new(),
            passing: BTreeMap::new(),
            due: Vec::new(),
            faults: PhantomData,
        }
    }

    /// Returns the latest book.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Returns who dispatches a pool's work.
    pub fn owner(&self, pool: &PoolId) -> Option<&Ownership> {
        self.book.owners.get(pool)
    }

    /// Whether this member dispatches a pool's work, as far as it knows.
    pub fn owns(&self, pool: &PoolId) -> bool {
        self.owner(pool).is_some_and(|held| held.owner == self.me)
    }

    /// Returns the pools to stop dispatching and to hand over: others shall
    /// have them, they are gone from the lists, or this member leaves.
    pub fn to_release(&self) -> Vec<PoolId> {
        let leaving = self.book.state(&self.me) == Some(crate::MemberState::Leaving);
        let mine = self.book.owners.iter().filter(|(_, held)| held.owner == self.me);
        let due = mine.filter(|(pool, held)| {
            leaving || held.next.is_some() || !self.book.pools.contains(*pool)
        });
        due.map(|(pool, _)| pool.clone()).collect()
    }

    /// Takes in the book. An earlier epoch has no effect.
    pub fn apply(&mut self, now: Instant, book: &Book) {
        if book.epoch <= self.book.epoch {
            return;
        }
        self.book = book.clone();
        self.note_ack(&self.me.clone(), book.epoch);
        let named = |node: &NodeId| {
            book.voters.contains(node) || book.members.keys().any(|member| member.node == *node)
        };
        self.acks.retain(|node, _| named(node));
        let (book, me) = (&self.book, &self.me);
        self.links.retain(|member, _| book.members.contains_key(member));
        self.absent.retain(|member, _| book.holds_rights(member));
        self.revisions.retain(|member, _| book.holds_rights(member) || member == me);
        self.fences.retain(|member, _| book.members.contains_key(member));
        self.passing.retain(|member, _| book.members.contains_key(member));
        for (member, record) in &book.members {
            if record.state.is_fenced() {
                self.fences.entry(member.clone()).or_insert(now);
            }
        }
        self.refresh_passing(now);
    }

    /// Takes in which members' leased keys the store has, as read at `now`.
    pub fn note_leases(&mut self, now: Instant, present: &BTreeSet<Member>) {
        self.listed = Some(now);
        self.absent.retain(|member, _| !present.contains(member));
        for member in self.book.active().filter(|member| !present.contains(*member)) {
            self.absent.entry(member.clone()).or_insert(now);
        }
    }

    /// Numbers a message to a peer that is made now. Returns its serial and
    /// the latest one received.
    pub(crate) fn number(&mut self, now: Instant, peer: &Member) -> (u64, Option<u64>) {
        // One sequence for all peers: a number is never used twice, also if a
        // link was dropped in between, so that an echo is never mistaken.
        self.serial += 1;
        let serial = self.serial;
        (serial, self.link(peer).send(now, serial))
    }

    pub(crate) fn link(&mut self, peer: &Member) -> &mut Link {
        if self.links.len() >= LINKS_MAX {
            let book = &self.book;
            self.links.retain(|member, _| book.members.contains_key(member));
        }
        self.links.entry(peer.clone()).or_default()
    }
}
