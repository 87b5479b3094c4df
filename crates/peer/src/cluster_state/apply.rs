//! Application of transitions to the cluster state.

use std::collections::BTreeSet;

use vg_base::prelude::*;
use vg_limit::faults::{NoFaults, PermitFaults};

use crate::{ClusterState, ClusterStateError, MemberRecord, MemberState, Transition, VoterChange};

impl ClusterState {
    /// Returns the cluster state after a transition.
    ///
    /// # Errors
    ///
    /// [`ClusterStateError`] if the transition is not allowed.
    pub fn apply(&self, transition: &Transition) -> Result<ClusterState, ClusterStateError> {
        self.apply_all::<NoFaults>(std::slice::from_ref(transition))
    }

    /// Returns the cluster state after several transitions, which share one epoch.
    ///
    /// # Errors
    ///
    /// [`ClusterStateError`] of the first transition that is not allowed.
    #[doc(hidden)]
    pub fn apply_all<F: PermitFaults>(
        &self,
        transitions: &[Transition],
    ) -> Result<ClusterState, ClusterStateError> {
        let mut next = self.clone();
        next.epoch = self.epoch.next();
        for transition in transitions {
            next.apply_one::<F>(transition)?;
        }
        Ok(next)
    }

    /// Returns the cluster state after those of the transitions that are allowed, which
    /// share one epoch; `None` if none of them is allowed.
    pub fn apply_allowed<F: PermitFaults>(
        &self,
        transitions: &[Transition],
    ) -> Option<ClusterState> {
        let mut next = self.clone();
        next.epoch = self.epoch.next();
        let mut changed = false;
        // New limits are applied first, so that no permit is granted under a limit that
        // the same change lowers.
        let is_lists = |each: &&Transition| matches!(each, Transition::SetLists { .. });
        let lists = transitions.iter().filter(is_lists);
        let others = transitions.iter().filter(|each| !is_lists(each));
        for transition in lists.chain(others) {
            // A refused transition may have been applied in part, so each is applied to a copy.
            let mut candidate = next.clone();
            if candidate.apply_one::<F>(transition).is_ok() {
                next = candidate;
                changed = true;
            }
        }
        changed.then_some(next)
    }

    /// Applies a transition in place. After an error the cluster state may be changed in part.
    fn apply_one<F: PermitFaults>(
        &mut self,
        transition: &Transition,
    ) -> Result<(), ClusterStateError> {
        match transition {
            Transition::Join { member, record } => self.join(member, record),
            Transition::Leave { member } => self.leave(member),
            Transition::Depart { member } => self.depart(member),
            Transition::Fence { lost } => self.fence(lost, false),
            Transition::ReassignPools { lost, voters_epoch } => {
                self.check_voters(*voters_epoch)?;
                self.check_fenced(lost)?;
                self.reassign_pools(lost)
            }
            Transition::Reclaim { lost, voters_epoch } => {
                self.check_voters(*voters_epoch)?;
                self.reclaim::<F>(lost)
            }
            Transition::SetLists { revision, limits, pools } => {
                self.ledger.set_limits(*revision, limits.clone())?;
                self.pools = pools.clone();
                Ok(())
            }
            Transition::AssignPools => self.assign_pools(),
            Transition::Release { pool, by } => self.release(pool, by),
            Transition::Ledger(change) => Ok(self.ledger.apply_change::<F>(change)?),
            Transition::ChangeVoters { change, voters_epoch } => {
                self.change_voters(change, *voters_epoch)
            }
        }
    }

    /// Adds a live member and opens its permit account. The first member becomes the only
    /// voter.
    fn join(&mut self, member: &Member, record: &MemberRecord) -> Result<(), ClusterStateError> {
        let known = self.latest_incarnations.get(&member.node).copied();
        if let Some(known) = known.filter(|known| *known >= member.incarnation) {
            return Err(ClusterStateError::Superseded { member: member.clone(), known });
        }
        self.latest_incarnations.insert(member.node.clone(), member.incarnation);
        self.ledger.open_account(member)?;
        let record = MemberRecord { state: MemberState::Live, ..record.clone() };
        self.members.insert(member.clone(), record);
        if self.voters.is_empty() {
            self.voters.insert(member.node.clone());
            self.voters_epoch = self.epoch;
        }
        Ok(())
    }

    fn leave(&mut self, member: &Member) -> Result<(), ClusterStateError> {
        let record = self.record(member)?;
        if record.state != MemberState::Live {
            return Err(ClusterStateError::WrongState { member: member.clone() });
        }
        record.state = MemberState::Leaving;
        Ok(())
    }

    /// Fences a leaving member that owns no pool and has stopped.
    fn depart(&mut self, member: &Member) -> Result<(), ClusterStateError> {
        if self.record(member)?.state != MemberState::Leaving {
            return Err(ClusterStateError::WrongState { member: member.clone() });
        }
        if let Some((pool, _)) =
            self.owners.iter().find(|(_, ownership)| ownership.owner == *member)
        {
            return Err(ClusterStateError::StillOwner {
                member: member.clone(),
                pool: pool.clone(),
            });
        }
        self.fence(member, true)
    }

    /// Fences a member and closes its permit account. `stopped` tells whether the member
    /// itself has reported that it runs nothing.
    fn fence(&mut self, member: &Member, stopped: bool) -> Result<(), ClusterStateError> {
        let since = self.epoch;
        let record = self.record(member)?;
        if record.state.is_fenced() {
            return Err(ClusterStateError::WrongState { member: member.clone() });
        }
        record.state = MemberState::Fenced { since, stopped };
        self.ledger.close_account(member)?;
        Ok(())
    }

    /// Frees the permits of fenced members that own no pools, and removes the members.
    fn reclaim<F: PermitFaults>(
        &mut self,
        lost: &BTreeSet<Member>,
    ) -> Result<(), ClusterStateError> {
        for member in lost {
            self.check_fenced(member)?;
            if let Some((pool, _)) =
                self.owners.iter().find(|(_, ownership)| ownership.owner == *member)
            {
                return Err(ClusterStateError::StillOwner {
                    member: member.clone(),
                    pool: pool.clone(),
                });
            }
        }
        self.ledger.reclaim::<F>(lost)?;
        self.members.retain(|member, _| !lost.contains(member));
        Ok(())
    }

    /// Adds or removes a voter. The last voter is never removed.
    fn change_voters(
        &mut self,
        change: &VoterChange,
        voters_epoch: Epoch,
    ) -> Result<(), ClusterStateError> {
        self.check_voters(voters_epoch)?;
        let changed = match change {
            VoterChange::Add(node) => self.voters.insert(node.clone()),
            VoterChange::Remove(node) => self.voters.len() > 1 && self.voters.remove(node),
        };
        if !changed {
            return Err(ClusterStateError::NoChange);
        }
        self.voters_epoch = self.epoch;
        Ok(())
    }

    /// Checks that the voters have not changed since the epoch that the proposer knew.
    fn check_voters(&self, offered: Epoch) -> Result<(), ClusterStateError> {
        let known = self.voters_epoch;
        if offered == known {
            Ok(())
        } else {
            Err(ClusterStateError::VotersChanged { offered, known })
        }
    }

    fn check_fenced(&self, member: &Member) -> Result<(), ClusterStateError> {
        let state = self.member_state(member);
        let state =
            state.ok_or_else(|| ClusterStateError::UnknownMember { member: member.clone() })?;
        if state.is_fenced() {
            Ok(())
        } else {
            Err(ClusterStateError::WrongState { member: member.clone() })
        }
    }

    fn record(&mut self, member: &Member) -> Result<&mut MemberRecord, ClusterStateError> {
        let record = self.members.get_mut(member);
        record.ok_or_else(|| ClusterStateError::UnknownMember { member: member.clone() })
    }
}
