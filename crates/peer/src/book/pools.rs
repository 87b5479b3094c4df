//! Owners of pools.

use vg_base::prelude::*;

use crate::{Book, BookError, MemberState, Ownership, choose_owner};

impl Book {
    /// Whether [`crate::Transition::PlacePools`] would change anything.
    pub fn needs_placing(&self) -> bool {
        self.pools.iter().any(|pool| {
            let choice = choose_owner(pool, self.live());
            let held = self.owners.get(pool);
            let next = choice.filter(|choice| held.is_none_or(|held| held.owner != **choice));
            choice.is_some() && held.is_none_or(|held| held.next.as_ref() != next)
        })
    }

    pub(super) fn place_pools(&mut self) -> Result<(), BookError> {
        let before = self.owners.clone();
        for pool in self.pools.clone() {
            self.place(&pool);
        }
        if self.owners == before { Err(BookError::NoChange) } else { Ok(()) }
    }

    fn place(&mut self, pool: &PoolId) {
        let Some(choice) = choose_owner(pool, self.live()).cloned() else {
            return;
        };
        match self.owners.get_mut(pool) {
            Some(held) => held.next = (held.owner != choice).then_some(choice),
            None => self.give(pool, choice),
        }
    }

    /// Hands a pool over. A pool that is no longer in the lists, or that
    /// nobody can take, is left without an owner.
    pub(super) fn release(&mut self, pool: &PoolId, by: &Member) -> Result<(), BookError> {
        let held = self.owners.get(pool).filter(|held| held.owner == *by);
        let Some(held) = held else {
            return Err(BookError::NotOwner { pool: pool.clone(), by: by.clone() });
        };
        let next = held.next.clone().filter(|next| self.state(next) == Some(MemberState::Live));
        let wanted = self.pools.contains(pool);
        let next = next.or_else(|| choose_owner(pool, self.live()).cloned());
        match next.filter(|_| wanted) {
            Some(next) => self.give(pool, next),
            None => drop(self.owners.remove(pool)),
        }
        Ok(())
    }

    pub(super) fn take_pools(&mut self, dead: &Member) -> Result<(), BookError> {
        let held = self.owners.iter().filter(|(_, held)| held.owner == *dead);
        let pools: Vec<PoolId> = held.map(|(pool, _)| pool.clone()).collect();
        if pools.is_empty() {
            return Err(BookError::NoChange);
        }
        pools.iter().try_for_each(|pool| self.release(pool, dead))
    }

    fn give(&mut self, pool: &PoolId, owner: Member) {
        let epoch = self.epoch;
        self.owners.insert(pool.clone(), Ownership { owner, epoch, next: None });
    }
}
