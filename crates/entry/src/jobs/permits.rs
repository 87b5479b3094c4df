//! Handover of the permits of running jobs to a pool's next owner.
//!
//! A job outlives the ownership of its pool, so its permit must move without being idle
//! in between. The previous owner releases and sends the permit in one step under the
//! lock of the membership, and the new owner receives it and uses it in one step.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_limit::{PermitReply, PermitRequest};

use crate::jobs::PoolJobs;
use crate::membership::PermitGuard;
use crate::node::Node;
use crate::platform::Platform;

/// Longest wait for the previous owner's permits.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Size limit for the previous owner's answer.
const HANDOVER_MAX_BYTES: usize = 256 * 1024;

/// Request to the previous owner of a pool for the permits of its jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PermitsHandover {
    /// The pool.
    pub(crate) pool: PoolId,
    /// Permits of the running jobs, by team.
    pub(crate) request: PermitRequest,
}

/// Releases the permits of a handed-over pool's jobs and sends them to the next owner.
pub(crate) fn hand_over_permits<P: Platform>(
    node: &Node<P>,
    handover: &PermitsHandover,
) -> Option<PermitReply> {
    let retired = node.jobs.take_retired(&handover.pool);
    let permits = retired.iter().flat_map(|jobs| std::mem::take(&mut jobs.lock().permits));
    let guards: Vec<PermitGuard<P::Clock>> = permits.flat_map(|(_, guards)| guards).collect();
    node.membership.transfer_permits(guards, &handover.request)
}

/// Obtains the permits of jobs that were taken over, and records how many are missing.
pub(super) async fn obtain_permits<P: Platform>(
    node: &Node<P>,
    jobs: &PoolJobs<P::Clock>,
    previous: Option<&Member>,
) {
    let needed = jobs.lock().shard.as_ref().map(|shard| shard.permits()).unwrap_or_default();
    if needed.is_empty() {
        return;
    }
    let guards = match previous {
        Some(previous) => request_permits(node, jobs.pool(), previous, &needed).await,
        None => Vec::new(),
    };
    let mut state = jobs.lock();
    for (team, guard) in guards {
        state.permits.entry(team).or_default().push(guard);
    }
    for (team, wanted) in needed {
        let held = state.permits.get(&team).map_or(0, Vec::len);
        let held = Permits(u32::try_from(held).unwrap_or(u32::MAX));
        let missing = wanted.saturating_sub(held);
        if missing > Permits::ZERO {
            state.missing_permits.insert(team, missing);
        }
    }
}

/// Requests the needed permits from the previous owner. Returns those that were received,
/// which are none if it does not answer.
async fn request_permits<P: Platform>(
    node: &Node<P>,
    pool: &PoolId,
    previous: &Member,
    needed: &BTreeMap<TeamId, Permits>,
) -> Vec<(TeamId, PermitGuard<P::Clock>)> {
    let Some(addr) = node.membership.peer_addr(previous) else { return Vec::new() };
    let (from, to) = (node.membership.me(), previous.clone());
    let request = PermitRequest { from, to, wanted: needed.clone() };
    let handover = PermitsHandover { pool: pool.clone(), request };
    let url = format!("http://{addr}/peer/jobs/units");
    let reply: Result<Option<PermitReply>, _> =
        node.client.post_msgpack(&url, &handover, HANDOVER_TIMEOUT, HANDOVER_MAX_BYTES).await;
    match reply {
        Ok(Some(reply)) => node.membership.receive_used(&reply, needed),
        Ok(None) | Err(_) => Vec::new(),
    }
}

/// Tries to acquire permits that are still missing, one for each team.
pub(super) fn acquire_missing<P: Platform>(node: &Node<P>, jobs: &PoolJobs<P::Clock>) {
    let mut state = jobs.lock();
    let teams: Vec<TeamId> = state.missing_permits.keys().cloned().collect();
    for team in teams {
        let Ok(guard) = node.membership.acquire_permits(&team, Permits(1)) else { continue };
        state.permits.entry(team.clone()).or_default().push(guard);
        let remaining = state
            .missing_permits
            .get(&team)
            .copied()
            .unwrap_or_default()
            .saturating_sub(Permits(1));
        if remaining == Permits::ZERO {
            state.missing_permits.remove(&team);
        } else {
            state.missing_permits.insert(team, remaining);
        }
    }
}
