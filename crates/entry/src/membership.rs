//! This node's membership, standing and units behind one lock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::Notify;
use vg_base::prelude::*;
use vg_limit::{PermitReply, PermitRequest, RunKey};
use vg_peer::{Membership, StartRefusal, Timing};

use crate::problem::{Problem, ProblemCode};

/// When a caller that met a node out of standing should come back.
const STANDING_RETRY: Duration = Duration::from_secs(1);

/// Another entry host that owns a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The member.
    pub member: Member,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Epoch of the ownership.
    pub epoch: Epoch,
}

/// Who owns a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolOwner {
    /// This node.
    Local,
    /// Another one.
    Peer(Peer),
}

/// The membership behind its lock, shared by all of the node's tasks.
///
/// The lock is the innermost one: nothing else is locked while it is held.
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
    missing: Notify,
}

impl<C: Clock> SharedMembership<C> {
    /// Makes the membership of a member that has just started.
    pub fn new(me: Member, timing: Timing, clock: C) -> SharedMembership<C> {
        let membership = Mutex::new(Membership::new(me, timing));
        SharedMembership { inner: Arc::new(Inner { clock, membership, missing: Notify::new() }) }
    }

    /// Locks the membership.
    pub fn lock(&self) -> MutexGuard<'_, Membership> {
        self.inner.membership.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns this member.
    pub fn me(&self) -> Member {
        self.lock().me().clone()
    }

    /// Returns who owns a pool, as far as this node knows.
    pub fn owner(&self, pool: &PoolId) -> Option<PoolOwner> {
        let membership = self.lock();
        let held = membership.view().owner(pool)?;
        if held.owner == *membership.me() {
            return Some(PoolOwner::Local);
        }
        let record = membership.cluster_state().members.get(&held.owner)?;
        let (member, addr, epoch) = (held.owner.clone(), record.peer_addr, held.epoch);
        Some(PoolOwner::Peer(Peer { member, addr, epoch }))
    }

    /// Checks that this node owns a pool since `epoch`.
    ///
    /// # Errors
    ///
    /// [`ProblemCode::NoOwner`]: nothing has run.
    pub fn check_owner(&self, pool: &PoolId, epoch: Epoch) -> Result<(), Problem> {
        let membership = self.lock();
        let held = membership.view().owner(pool);
        if held.is_some_and(|held| held.owner == *membership.me() && held.epoch == epoch) {
            return Ok(());
        }
        let detail = format!("entry host `{}` does not own the pool", membership.me().node);
        Err(Problem::not_run(ProblemCode::NoOwner, detail))
    }

    /// Checks that this node may act on its rights and that its configuration
    /// is current.
    ///
    /// # Errors
    ///
    /// [`ProblemCode::StaleConfiguration`]: nothing has run.
    pub fn check_may_act(&self) -> Result<(), Problem> {
        let now = self.inner.clock.now();
        let membership = self.lock();
        let standing = membership.authority();
        let result = standing.may_act(now).and_then(|()| standing.check_fresh(now));
        result.map_err(|refusal| {
            let detail = refusal.to_string();
            Problem::not_run(ProblemCode::StaleConfiguration, detail).retry_after(STANDING_RETRY)
        })
    }

    /// Takes `weight` units of a team for a run.
    ///
    /// # Errors
    ///
    /// [`StartRefusal`]; a lack of units wakes whoever asks peers for more.
    pub fn acquire_permits(
        &self,
        team: &TeamId,
        weight: Permits,
    ) -> Result<PermitGuard<C>, StartRefusal> {
        let started = self.lock().try_start(self.inner.clock.now(), team, weight);
        match started {
            Ok(run) => Ok(PermitGuard { membership: self.clone(), run: Some(run) }),
            Err(refusal) => {
                self.inner.missing.notify_one();
                Err(refusal)
            }
        }
    }

    /// Frees units and sends them to a peer in one step, so that nothing else
    /// here can use them in between.
    pub(crate) fn hand_over(
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

    /// Takes in units from a peer and uses them for runs that go on, in one
    /// step. Returns those that could be had.
    pub(crate) fn take_over(
        &self,
        reply: &PermitReply,
        needed: &BTreeMap<TeamId, Permits>,
    ) -> Vec<(TeamId, PermitGuard<C>)> {
        let now = self.inner.clock.now();
        let mut membership = self.lock();
        membership.receive_permits(reply);
        let mut guards = Vec::new();
        for (team, units) in needed {
            for _ in 0..units.get() {
                let Ok(run) = membership.try_start(now, team, Permits(1)) else { break };
                guards
                    .push((team.clone(), PermitGuard { membership: self.clone(), run: Some(run) }));
            }
        }
        guards
    }

    /// Waits until a run has found too few units.
    pub async fn permit_shortage(&self) {
        self.inner.missing.notified().await;
    }

    /// Returns the addresses of the other members that hold rights.
    pub fn peers(&self) -> Vec<(Member, SocketAddr)> {
        let membership = self.lock();
        let book = membership.cluster_state();
        let others = book.active().filter(|member| *member != membership.me());
        let addr = |member: &Member| book.members.get(member).map(|record| record.peer_addr);
        others.filter_map(|member| Some((member.clone(), addr(member)?))).collect()
    }

    /// Returns the address of a member for peers, if the book has it.
    pub fn peer_addr(&self, member: &Member) -> Option<SocketAddr> {
        self.lock().cluster_state().members.get(member).map(|record| record.peer_addr)
    }
}

/// Permits of one run; gives them back when it is dropped.
#[derive(Debug)]
pub struct PermitGuard<C: Clock> {
    membership: SharedMembership<C>,
    run: Option<RunKey>,
}

impl<C: Clock> PermitGuard<C> {
    /// Keeps the units in use for a time: the run may not be over before.
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
