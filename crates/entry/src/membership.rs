//! This node's membership, with its authority and permits, behind a lock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::Notify;
use vg_base::prelude::*;
use vg_limit::{PermitReply, PermitRequest, RunKey};
use vg_peer::{Membership, StartRefusal, Timing};

use crate::problem::{Problem, ProblemCode};

/// Delay after which a caller should retry if this node had no authority to act.
const AUTHORITY_RETRY: Duration = Duration::from_secs(1);

/// Another entry host that owns a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The owner's name and incarnation.
    pub member: Member,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Epoch of the ownership.
    pub epoch: Epoch,
}

/// The owner of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolOwner {
    /// This node.
    Local,
    /// Another entry host.
    Peer(Peer),
}

/// The membership behind its lock, shared by all tasks of the node.
///
/// This lock is the innermost one: no other lock is taken while it is held.
#[derive(Debug)]
pub struct SharedMembership<C> {
    inner: Arc<Inner<C>>,
}

impl<C> Clone for SharedMembership<C> {
    fn clone(&self) -> SharedMembership<C> {
        SharedMembership { inner: Arc::clone(&self.inner) }
    }
}

#[derive(Debug)]
struct Inner<C> {
    clock: C,
    membership: Mutex<Membership>,
    /// Notified when an attempt to acquire permits has failed.
    shortage: Notify,
}

impl<C: Clock> SharedMembership<C> {
    /// Creates the membership of a member that has just started.
    pub fn new(me: Member, timing: Timing, clock: C) -> SharedMembership<C> {
        let membership = Mutex::new(Membership::new(me, timing));
        SharedMembership { inner: Arc::new(Inner { clock, membership, shortage: Notify::new() }) }
    }

    /// Locks the membership.
    pub fn lock(&self) -> MutexGuard<'_, Membership> {
        self.inner.membership.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns this member.
    pub fn me(&self) -> Member {
        self.lock().me().clone()
    }

    /// Returns the owner of a pool as far as this node knows it, or `None`.
    pub fn owner(&self, pool: &PoolId) -> Option<PoolOwner> {
        let membership = self.lock();
        let ownership = membership.view().owner(pool)?;
        if ownership.owner == *membership.me() {
            return Some(PoolOwner::Local);
        }
        let record = membership.cluster_state().members.get(&ownership.owner)?;
        let (member, addr, epoch) = (ownership.owner.clone(), record.peer_addr, ownership.epoch);
        Some(PoolOwner::Peer(Peer { member, addr, epoch }))
    }

    /// Checks that this node owns a pool with the ownership of `epoch`.
    ///
    /// # Errors
    ///
    /// [`ProblemCode::NoOwner`] if it does not. Nothing has run.
    pub fn check_owner(&self, pool: &PoolId, epoch: Epoch) -> Result<(), Problem> {
        let membership = self.lock();
        let ownership = membership.view().owner(pool);
        if ownership.is_some_and(|ownership| {
            ownership.owner == *membership.me() && ownership.epoch == epoch
        }) {
            return Ok(());
        }
        let detail = format!("entry host `{}` does not own the pool", membership.me().node);
        Err(Problem::not_run(ProblemCode::NoOwner, detail))
    }

    /// Checks that this node has the authority to act and that its configuration is
    /// current.
    ///
    /// # Errors
    ///
    /// [`ProblemCode::StaleConfiguration`] if not. Nothing has run.
    pub fn check_may_act(&self) -> Result<(), Problem> {
        let now = self.inner.clock.now();
        let membership = self.lock();
        let authority = membership.authority();
        let result = authority.may_act(now).and_then(|()| authority.check_fresh(now));
        result.map_err(|refusal| {
            let detail = refusal.to_string();
            Problem::not_run(ProblemCode::StaleConfiguration, detail).retry_after(AUTHORITY_RETRY)
        })
    }

    /// Acquires `weight` permits of a team for one call or one attempt of a job.
    ///
    /// # Errors
    ///
    /// [`StartRefusal`]. The task that requests permits from peers is woken.
    pub fn acquire_permits(
        &self,
        team: &TeamId,
        weight: Permits,
    ) -> Result<PermitGuard<C>, StartRefusal> {
        let started = self.lock().try_start(self.inner.clock.now(), team, weight);
        match started {
            Ok(run) => Ok(PermitGuard { membership: self.clone(), run: Some(run) }),
            Err(refusal) => {
                self.inner.shortage.notify_one();
                Err(refusal)
            }
        }
    }

    /// Releases permits and grants them to a peer in one step, so that nothing else on this
    /// node can use them in between. Returns the reply to the peer's request.
    pub(crate) fn transfer_permits(
        &self,
        guards: Vec<PermitGuard<C>>,
        request: &PermitRequest,
    ) -> Option<PermitReply> {
        let mut membership = self.lock();
        for mut guard in guards {
            if let Some(run) = guard.run.take() {
                membership.permits_mut().finish(run);
            }
        }
        membership.answer_permits(request)
    }

    /// Receives permits from a peer and acquires them for running jobs in one step.
    /// Returns the permits that could be acquired.
    pub(crate) fn receive_used(
        &self,
        reply: &PermitReply,
        needed: &BTreeMap<TeamId, Permits>,
    ) -> Vec<(TeamId, PermitGuard<C>)> {
        let now = self.inner.clock.now();
        let mut membership = self.lock();
        membership.receive_permits(reply);
        let mut guards = Vec::new();
        for (team, permits) in needed {
            for _ in 0..permits.get() {
                let Ok(run) = membership.try_start(now, team, Permits(1)) else { break };
                guards
                    .push((team.clone(), PermitGuard { membership: self.clone(), run: Some(run) }));
            }
        }
        guards
    }

    /// Waits until an attempt to acquire permits has failed.
    pub async fn permit_shortage(&self) {
        self.inner.shortage.notified().await;
    }

    /// Returns the other active members with their addresses for peers.
    pub fn peers(&self) -> Vec<(Member, SocketAddr)> {
        let membership = self.lock();
        let cluster_state = membership.cluster_state();
        let others = cluster_state.active().filter(|member| *member != membership.me());
        let addr =
            |member: &Member| cluster_state.members.get(member).map(|record| record.peer_addr);
        others.filter_map(|member| Some((member.clone(), addr(member)?))).collect()
    }

    /// Returns a member's address for peers, or `None` if the cluster state does not have
    /// the member.
    pub fn peer_addr(&self, member: &Member) -> Option<SocketAddr> {
        self.lock().cluster_state().members.get(member).map(|record| record.peer_addr)
    }
}

/// Permits of one call or one attempt of a job, which are released when the guard is
/// dropped.
#[derive(Debug)]
pub struct PermitGuard<C: Clock> {
    membership: SharedMembership<C>,
    run: Option<RunKey>,
}

impl<C: Clock> PermitGuard<C> {
    /// Keeps the permits in use for a time, because the call may not have ended before.
    pub fn release_after(self, time: Duration) {
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            drop(self);
        });
    }
}

impl<C: Clock> Drop for PermitGuard<C> {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            self.membership.lock().permits_mut().finish(run);
        }
    }
}
