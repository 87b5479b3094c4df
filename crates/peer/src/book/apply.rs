//! Transitions of the book.

use std::collections::BTreeSet;

use vg_base::prelude::*;
use vg_limit::faults::{NoFaults, PermitFaults};

use crate::{Book, BookError, MemberRecord, MemberState, Transition, VoterStep};

impl Book {
    /// Returns the book after a transition.
    ///
    /// # Errors
    ///
    /// [`BookError`] if the transition is not allowed; nothing has changed.
    pub fn apply(&self, transition: &Transition) -> Result<Book, BookError> {
        self.apply_all::<NoFaults>(std::slice::from_ref(transition))
    }

    /// Returns the book after several transitions, as one change.
    ///
    /// # Errors
    ///
    /// [`BookError`] of the first transition that is not allowed.
    #[doc(hidden)]
    pub fn apply_all<F: PermitFaults>(
        &self,
        transitions: &[Transition],
    ) -> Result<Book, BookError> {
        let mut book = self.clone();
        book.epoch = self.epoch.next();
        for transition in transitions {
            book.change::<F>(transition)?;
        }
        Ok(book)
    }

    /// Returns the book after those transitions that are allowed, as one
    /// change; `None` if none is.
    pub fn apply_allowed<F: PermitFaults>(&self, transitions: &[Transition]) -> Option<Book> {
        let mut book = self.clone();
        book.epoch = self.epoch.next();
        let mut changed = false;
        // New limits come first: no unit is granted under a limit that the same
        // change lowers.
        let is_lists = |each: &&Transition| matches!(each, Transition::SetLists { .. });
        let lists = transitions.iter().filter(is_lists);
        let others = transitions.iter().filter(|each| !is_lists(each));
        for transition in lists.chain(others) {
            // A refused transition can leave a part of it behind.
            let mut copy = book.clone();
            if copy.change::<F>(transition).is_ok() {
                book = copy;
                changed = true;
            }
        }
        changed.then_some(book)
    }

    fn change<F: PermitFaults>(&mut self, transition: &Transition) -> Result<(), BookError> {
        match transition {
            Transition::Join { member, record } => self.join(member, record),
            Transition::Leave { member } => self.leave(member),
            Transition::Depart { member } => self.depart(member),
            Transition::Fence { dead } => self.fence(dead, false),
            Transition::TakePools { dead, voters } => {
                self.check_voters(*voters)?;
                self.check_fenced(dead)?;
                self.take_pools(dead)
            }
            Transition::Reclaim { dead, voters } => {
                self.check_voters(*voters)?;
                self.reclaim::<F>(dead)
            }
            Transition::SetLists { revision, limits, pools } => {
                self.units.set_limits(*revision, limits.clone())?;
                self.pools = pools.clone();
                Ok(())
            }
            Transition::PlacePools => self.place_pools(),
            Transition::Release { pool, by } => self.release(pool, by),
            Transition::Units(change) => Ok(self.units.apply_change::<F>(change)?),
            Transition::StepVoters { step, after } => self.step_voters(step, *after),
        }
    }

    fn join(&mut self, member: &Member, record: &MemberRecord) -> Result<(), BookError> {
        let known = self.latest.get(&member.node).copied();
        if let Some(known) = known.filter(|known| *known >= member.incarnation) {
            return Err(BookError::Superseded { member: member.clone(), known });
        }
        self.latest.insert(member.node.clone(), member.incarnation);
        self.units.open_account(member)?;
        let record = MemberRecord { state: MemberState::Live, ..record.clone() };
        self.members.insert(member.clone(), record);
        if self.voters.is_empty() {
            self.voters.insert(member.node.clone());
            self.voters_epoch = self.epoch;
        }
        Ok(())
    }

    fn leave(&mut self, member: &Member) -> Result<(), BookError> {
        let record = self.record(member)?;
        if record.state != MemberState::Live {
            return Err(BookError::State { member: member.clone() });
        }
        record.state = MemberState::Leaving;
        Ok(())
    }

    fn depart(&mut self, member: &Member) -> Result<(), BookError> {
        if self.record(member)?.state != MemberState::Leaving {
            return Err(BookError::State { member: member.clone() });
        }
        if let Some((pool, _)) = self.owners.iter().find(|(_, held)| held.owner == *member) {
            return Err(BookError::Owns { member: member.clone(), pool: pool.clone() });
        }
        self.fence(member, true)
    }

    fn fence(&mut self, member: &Member, stopped: bool) -> Result<(), BookError> {
        let since = self.epoch;
        let record = self.record(member)?;
        if record.state.is_fenced() {
            return Err(BookError::State { member: member.clone() });
        }
        record.state = MemberState::Fenced { since, stopped };
        self.units.close_account(member)?;
        Ok(())
    }

    fn reclaim<F: PermitFaults>(&mut self, dead: &BTreeSet<Member>) -> Result<(), BookError> {
        for member in dead {
            self.check_fenced(member)?;
            if let Some((pool, _)) = self.owners.iter().find(|(_, held)| held.owner == *member) {
                return Err(BookError::Owns { member: member.clone(), pool: pool.clone() });
            }
        }
        self.units.reclaim::<F>(dead)?;
        self.members.retain(|member, _| !dead.contains(member));
        Ok(())
    }

    fn step_voters(&mut self, step: &VoterStep, after: Epoch) -> Result<(), BookError> {
        self.check_voters(after)?;
        let changed = match step {
            VoterStep::Add(node) => self.voters.insert(node.clone()),
            VoterStep::Remove(node) => self.voters.len() > 1 && self.voters.remove(node),
        };
        if !changed {
            return Err(BookError::NoChange);
        }
        self.voters_epoch = self.epoch;
        Ok(())
    }

    fn check_voters(&self, offered: Epoch) -> Result<(), BookError> {
        let known = self.voters_epoch;
        if offered == known { Ok(()) } else { Err(BookError::Voters { offered, known }) }
    }

    fn check_fenced(&self, member: &Member) -> Result<(), BookError> {
        let state = self.state(member);
        let state = state.ok_or_else(|| BookError::Unknown { member: member.clone() })?;
        if state.is_fenced() { Ok(()) } else { Err(BookError::State { member: member.clone() }) }
    }

    fn record(&mut self, member: &Member) -> Result<&mut MemberRecord, BookError> {
        let record = self.members.get_mut(member);
        record.ok_or_else(|| BookError::Unknown { member: member.clone() })
    }
}
