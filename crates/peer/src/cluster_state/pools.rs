//! Owners of pools.

use vg_base::prelude::*;

use crate::{ClusterState, ClusterStateError, MemberState, Ownership, choose_owner};

impl ClusterState {
    /// Whether [`crate::Transition::AssignPools`] would change anything.
    pub fn needs_placement(&self) -> bool {
        self.pools.iter().any(|pool| {
            let choice = choose_owner(pool, self.live());
            let held = self.owners.get(pool);
            let next = choice.filter(|choice| held.is_none_or(|held| held.owner != **choice));
            choice.is_some() && held.is_none_or(|held| held.successor.as_ref() != next)
        })
    }

    pub(super) fn place_pools(&mut self) -> Result<(), ClusterStateError> {
        let before = self.owners.clone();
        for pool in self.pools.clone() {
            self.place(&pool);
        }
        if self.owners == before { Err(ClusterStateError::NoChange) } else { Ok(()) }
    }

    fn place(&mut self, pool: &PoolId) {
        let Some(choice) = choose_owner(pool, self.live()).cloned() else {
            return;
        };
        match self.owners.get_mut(pool) {
            Some(held) => held.successor = (held.owner != choice).then_some(choice),
            None => self.give(pool, choice),
        }
    }

    /// Hands a pool over. A pool that is no longer in the lists, or that
    /// nobody can take, is left without an owner.
    pub(super) fn release(&mut self, pool: &PoolId, by: &Member) -> Result<(), ClusterStateError> {
        let held = self.owners.get(pool).filter(|held| held.owner == *by);
        let Some(held) = held else {
            return Err(ClusterStateError::NotOwner { pool: pool.clone(), by: by.clone() });
        };
        let next = held
            .successor
            .clone()
            .filter(|next| self.member_state(next) == Some(MemberState::Live));
        let wanted = self.pools.contains(pool);
        let next = next.or_else(|| choose_owner(pool, self.live()).cloned());
        match next.filter(|_| wanted) {
            Some(next) => self.give(pool, next),
            None => drop(self.owners.remove(pool)),
        }
        Ok(())
    }

    pub(super) fn take_pools(&mut self, lost: &Member) -> Result<(), ClusterStateError> {
        let held = self.owners.iter().filter(|(_, held)| held.owner == *lost);
        let pools: Vec<PoolId> = held.map(|(pool, _)| pool.clone()).collect();
        if pools.is_empty() {
            return Err(ClusterStateError::NoChange);
        }
        pools.iter().try_for_each(|pool| self.release(pool, lost))
    }

    fn give(&mut self, pool: &PoolId, owner: Member) {
        let epoch = self.epoch;
        self.owners.insert(pool.clone(), Ownership { owner, epoch, successor: None });
    }
}
