//! Assignment of pools to owners.

use vg_base::prelude::*;

use crate::{ClusterState, ClusterStateError, MemberState, Ownership, choose_owner};

impl ClusterState {
    /// Whether [`crate::Transition::AssignPools`] would change anything.
    pub fn needs_assignment(&self) -> bool {
        self.pools.iter().any(|pool| {
            let choice = choose_owner(pool, self.live());
            let ownership = self.owners.get(pool);
            let successor = choice
                .filter(|choice| ownership.is_none_or(|ownership| ownership.owner != **choice));
            choice.is_some()
                && ownership.is_none_or(|ownership| ownership.successor.as_ref() != successor)
        })
    }

    /// Assigns owners and successors to all pools in the lists.
    pub(super) fn assign_pools(&mut self) -> Result<(), ClusterStateError> {
        let before = self.owners.clone();
        for pool in self.pools.clone() {
            self.assign_owner(&pool);
        }
        if self.owners == before { Err(ClusterStateError::NoChange) } else { Ok(()) }
    }

    /// Makes the member that should own a pool its owner, or its successor if the pool has
    /// another owner.
    fn assign_owner(&mut self, pool: &PoolId) {
        let Some(choice) = choose_owner(pool, self.live()).cloned() else {
            return;
        };
        match self.owners.get_mut(pool) {
            Some(ownership) => ownership.successor = (ownership.owner != choice).then_some(choice),
            None => self.assign(pool, choice),
        }
    }

    /// Hands a pool over to its successor, or to the member that should own it. A pool
    /// that is no longer in the lists is left without an owner, and so is a pool that no
    /// live member can take.
    pub(super) fn release(&mut self, pool: &PoolId, by: &Member) -> Result<(), ClusterStateError> {
        let ownership = self.owners.get(pool).filter(|ownership| ownership.owner == *by);
        let Some(ownership) = ownership else {
            return Err(ClusterStateError::NotOwner { pool: pool.clone(), by: by.clone() });
        };
        let successor = ownership
            .successor
            .clone()
            .filter(|successor| self.member_state(successor) == Some(MemberState::Live));
        let listed = self.pools.contains(pool);
        let successor = successor.or_else(|| choose_owner(pool, self.live()).cloned());
        match successor.filter(|_| listed) {
            Some(successor) => self.assign(pool, successor),
            None => drop(self.owners.remove(pool)),
        }
        Ok(())
    }

    /// Hands over all pools of a lost member, as if the member had released them.
    pub(super) fn reassign_pools(&mut self, lost: &Member) -> Result<(), ClusterStateError> {
        let owned = self.owners.iter().filter(|(_, ownership)| ownership.owner == *lost);
        let pools: Vec<PoolId> = owned.map(|(pool, _)| pool.clone()).collect();
        if pools.is_empty() {
            return Err(ClusterStateError::NoChange);
        }
        pools.iter().try_for_each(|pool| self.release(pool, lost))
    }

    fn assign(&mut self, pool: &PoolId, owner: Member) {
        let epoch = self.epoch;
        self.owners.insert(pool.clone(), Ownership { owner, epoch, successor: None });
    }
}
