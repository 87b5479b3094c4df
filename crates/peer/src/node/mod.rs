//! One member's part as a whole.

mod advice;
mod messages;

use std::collections::BTreeSet;

use vg_base::prelude::*;
use vg_limit::faults::Sound;
use vg_limit::{Ledger, RunKey};

use crate::faults::PeerFaults;
use crate::{Book, Standing, StandingRefusal, Timing, Transition, View};

use advice::AdviceFeed;
pub use messages::Received;

/// One member's view, standing and units, wired together.
#[derive(Debug, Clone)]
pub struct Node<F: PeerFaults = Sound> {
    me: Member,
    view: View<F>,
    standing: Standing<F>,
    ledger: Ledger<F>,
    advice: AdviceFeed,
    leaving: bool,
}

/// Why work may not start here and now.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum StartRefusal {
    /// This member may not act on its rights.
    #[snafu(context(false), display("{source}"))]
    Standing {
        /// Why.
        source: StandingRefusal,
    },
    /// The team's units don't allow it.
    #[snafu(context(false), display("{source}"))]
    Limit {
        /// Why.
        source: vg_limit::LimitRefusal,
    },
}

impl Node {
    /// Makes the part of a member that has just started.
    pub fn new(me: Member, timing: Timing) -> Node {
        Node::with_faults(me, timing)
    }
}

impl<F: PeerFaults> Node<F> {
    /// Makes a node with the faults of `F`, for tests of the tests.
    #[doc(hidden)]
    pub fn with_faults(me: Member, timing: Timing) -> Node<F> {
        Node {
            view: View::with_faults(me.clone(), timing.clone()),
            standing: Standing::with_faults(me.clone(), timing),
            ledger: Ledger::with_faults(me.clone()),
            advice: AdviceFeed::default(),
            leaving: false,
            me,
        }
    }

    /// Returns this member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the latest book.
    pub fn book(&self) -> &Book {
        self.view.book()
    }

    /// Returns what is known of the members.
    pub fn view(&self) -> &View<F> {
        &self.view
    }

    /// Returns whether this member may act.
    pub fn standing(&self) -> &Standing<F> {
        &self.standing
    }

    /// Returns the standing, to note store calls.
    pub fn standing_mut(&mut self) -> &mut Standing<F> {
        &mut self.standing
    }

    /// Returns the units.
    pub fn ledger(&self) -> &Ledger<F> {
        &self.ledger
    }

    /// Returns the units, to finish runs and to state what is wanted.
    pub fn ledger_mut(&mut self) -> &mut Ledger<F> {
        &mut self.ledger
    }

    /// Takes in the book, from the store or from a peer.
    pub fn apply(&mut self, now: Instant, book: &Book, from_store: bool) {
        self.standing.apply(book, from_store);
        self.ledger.apply(book.epoch, &book.units);
        self.view.apply(now, book);
    }

    /// Takes in which members' leased keys the store has, as read at `sent`.
    pub fn note_leases(&mut self, sent: Instant, present: &BTreeSet<Member>) {
        self.standing.note_contact(sent);
        self.view.note_leases(sent, present);
    }

    /// Notes that the lists of `revision` are in force here.
    pub fn set_revision(&mut self, revision: Revision) {
        self.standing.set_revision(revision);
        self.view.note_revision(&self.me.clone(), revision);
    }

    /// Returns the transitions to commit, as one compare-and-swap against
    /// exactly the book that was applied last.
    ///
    /// If the outcome is in doubt, read the book, apply it and ask again.
    pub fn changes(&mut self, now: Instant) -> Vec<Transition> {
        let view = &mut self.view;
        let units = self.ledger.propose(view.book().epoch, &view.book().units);
        let mut changes: Vec<Transition> = units.into_iter().map(Transition::Units).collect();
        changes.extend(view.actions(now));
        changes
    }

    /// Returns the book after those of the changes that it allows.
    pub fn apply_changes(&self, changes: &[Transition]) -> Option<Book> {
        self.book().apply_allowed::<F>(changes)
    }

    /// Takes idle units for a run, if this member may act at all.
    ///
    /// # Errors
    ///
    /// [`StartRefusal`]; nothing was taken.
    pub fn try_start(
        &mut self,
        now: Instant,
        team: &TeamId,
        weight: Units,
    ) -> Result<RunKey, StartRefusal> {
        self.standing.may_act(now)?;
        Ok(self.ledger.try_start_many(team, weight)?)
    }

    /// Whether this member dispatches a pool's work and may act now.
    pub fn may_dispatch(&self, now: Instant, pool: &PoolId) -> bool {
        self.view.owns(pool) && self.standing.may_act(now).is_ok()
    }

    /// Begins to leave: heartbeats say so, and idle units are given back.
    /// Commit [`Transition::Leave`] as well.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.ledger.leave();
    }

    /// Whether a leaving member may commit [`Transition::Depart`] now: it runs
    /// nothing and owns no pool.
    pub fn may_depart(&self) -> bool {
        let owns = self.book().owners.values().any(|held| held.owner == self.me);
        self.leaving && !owns && self.ledger.runs() == 0
    }
}
