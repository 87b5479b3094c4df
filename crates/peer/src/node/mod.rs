//! One member's part as a whole.

mod advice;
mod messages;

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_limit::faults::NoFaults;
use vg_limit::{MemberPermits, RunKey};

use crate::faults::PeerFaults;
use crate::{Book, MemberState, Standing, StandingRefusal, Timing, Transition, View};

use advice::AdviceFeed;
pub use messages::Received;

/// One member's view, standing and units, wired together.
#[derive(Debug, Clone)]
pub struct Node<F: PeerFaults = NoFaults> {
    me: Member,
    view: View<F>,
    standing: Standing<F>,
    ledger: MemberPermits<F>,
    advice: AdviceFeed,
    leaving: bool,
    departing: bool,
    /// Pools whose dispatch has stopped here, with the epoch of the ownership
    /// that is handed over.
    stopped: BTreeMap<PoolId, Epoch>,
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
            ledger: MemberPermits::with_faults(me.clone()),
            advice: AdviceFeed::default(),
            leaving: false,
            departing: false,
            stopped: BTreeMap::new(),
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
    pub fn ledger(&self) -> &MemberPermits<F> {
        &self.ledger
    }

    /// Returns the units, to finish runs and to state what is wanted.
    pub fn ledger_mut(&mut self) -> &mut MemberPermits<F> {
        &mut self.ledger
    }

    /// Takes in the book, from the store or from a peer.
    pub fn apply(&mut self, now: Instant, book: &Book, from_store: bool) {
        self.standing.apply(book, from_store);
        self.ledger.apply(book.epoch, &book.units);
        self.view.apply(now, book);
        if self.book().is_over(&self.me) {
            self.standing.end();
        }
        let same = |pool: &PoolId, epoch: &mut Epoch| {
            self.view.owns(pool) && self.view.owner(pool).is_some_and(|held| held.epoch == *epoch)
        };
        self.stopped.retain(same);
    }

    /// Whether this member was fenced or superseded: it never acts again. Its
    /// process has to go on as a new incarnation.
    pub fn is_over(&self) -> bool {
        self.book().is_over(&self.me)
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

    /// Notes that runs may last this long, by the lists in force: a lost
    /// member's units stay out of use for as long.
    pub fn cover_runs(&mut self, longest: Duration) {
        self.view.cover_runs(longest);
    }

    /// Returns the transitions to commit, as one compare-and-swap against
    /// exactly the book that was applied last.
    ///
    /// The commit has to fail as well if the leased key of one of
    /// [`Transition::guards`] exists. If the outcome is in doubt, read the book,
    /// apply it and ask again.
    pub fn changes(&mut self, now: Instant) -> Vec<Transition> {
        let view = &mut self.view;
        let units = self.ledger.propose_changes(view.book().epoch, &view.book().units);
        let mut changes: Vec<Transition> = units.into_iter().map(Transition::Units).collect();
        changes.extend(view.actions(now));
        changes.extend(self.own_changes());
        changes
    }

    fn own_changes(&self) -> Vec<Transition> {
        let member = self.me.clone();
        let release =
            |pool: &PoolId| Transition::Release { pool: pool.clone(), by: member.clone() };
        let mut changes: Vec<Transition> = self.stopped.keys().map(release).collect();
        match self.book().state(&self.me) {
            Some(MemberState::Live) if self.leaving => changes.push(Transition::Leave { member }),
            Some(MemberState::Leaving) if self.departing => {
                changes.push(Transition::Depart { member });
            }
            _ => {}
        }
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
        let held = self.view.owns(pool) && !self.stopped.contains_key(pool);
        held && self.standing.may_act(now).is_ok()
    }

    /// Notes that dispatch of a pool of [`View::to_release`] has stopped here:
    /// from now on the pool is being handed over.
    pub fn stop_pool(&mut self, pool: &PoolId) {
        let held = self.view.owner(pool).filter(|held| held.owner == self.me);
        if let Some(epoch) = held.map(|held| held.epoch) {
            self.stopped.insert(pool.clone(), epoch);
        }
    }

    /// Begins to leave: no new rights are taken, and idle units are given back.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.ledger.start_leaving();
    }

    /// Ends a leave, if this member runs nothing and owns no pool any more:
    /// it acts no more, and its rest of rights becomes free at once.
    ///
    /// Returns whether it does so.
    pub fn depart(&mut self) -> bool {
        let owns = self.book().owners.values().any(|held| held.owner == self.me);
        if self.leaving && !owns && self.ledger.runs() == 0 {
            self.departing = true;
            self.standing.end();
        }
        self.departing
    }
}
