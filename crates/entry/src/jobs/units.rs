//! Permits of running jobs on their way to a pool's next owner.
//!
//! A job outlives its pool's owner, so its unit must move without ever being
//! idle: the old owner frees it and sends it in one step of the membership, and the
//! new one receives and uses it in one step.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_limit::{PermitReply, PermitRequest};

use crate::jobs::PoolJobs;
use crate::membership::PermitGuard;
use crate::node::Node;
use crate::platform::Platform;

/// Longest wait for the earlier owner's units.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest answer that is read.
const HANDOVER_MAX_BYTES: usize = 256 * 1024;

/// Asks the earlier owner of a pool for the units of its jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct UnitsHandover {
    /// The pool.
    pub(crate) pool: PoolId,
    /// Permits of the running jobs, by team.
    pub(crate) request: PermitRequest,
}

/// Frees the units of handed over jobs and sends them to the next owner.
pub(crate) fn hand_units<P: Platform>(node: &Node<P>, ask: &UnitsHandover) -> Option<PermitReply> {
    let retired = node.jobs.take_retired(&ask.pool);
    let held = retired.iter().flat_map(|jobs| std::mem::take(&mut jobs.lock().units));
    let guards: Vec<PermitGuard<P::Clock>> = held.flat_map(|(_, guards)| guards).collect();
    node.membership.hand_over(guards, &ask.request)
}

/// Obtains the units of jobs that were taken over, as far as they can be had.
pub(super) async fn obtain<P: Platform>(
    node: &Node<P>,
    jobs: &PoolJobs<P::Clock>,
    earlier: Option<&Member>,
) {
    let needed = jobs.lock().shard.as_ref().map(|shard| shard.permits()).unwrap_or_default();
    if needed.is_empty() {
        return;
    }
    let guards = match earlier {
        Some(earlier) => ask(node, jobs.pool(), earlier, &needed).await,
        None => Vec::new(),
    };
    let mut state = jobs.lock();
    for (team, guard) in guards {
        state.units.entry(team).or_default().push(guard);
    }
    for (team, units) in needed {
        let held = state.units.get(&team).map_or(0, Vec::len);
        let held = Permits(u32::try_from(held).unwrap_or(u32::MAX));
        let missing = units.saturating_sub(held);
        if missing > Permits::ZERO {
            state.debt.insert(team, missing);
        }
    }
}

async fn ask<P: Platform>(
    node: &Node<P>,
    pool: &PoolId,
    earlier: &Member,
    needed: &BTreeMap<TeamId, Permits>,
) -> Vec<(TeamId, PermitGuard<P::Clock>)> {
    let Some(addr) = node.membership.peer_addr(earlier) else { return Vec::new() };
    let (from, to) = (node.membership.me(), earlier.clone());
    let request = PermitRequest { from, to, wanted: needed.clone() };
    let ask = UnitsHandover { pool: pool.clone(), request };
    let url = format!("http://{addr}/peer/jobs/units");
    let reply: Result<Option<PermitReply>, _> =
        node.client.post_msgpack(&url, &ask, HANDOVER_TIMEOUT, HANDOVER_MAX_BYTES).await;
    match reply {
        Ok(Some(reply)) => node.membership.take_over(&reply, needed),
        Ok(None) | Err(_) => Vec::new(),
    }
}

/// Tries to obtain units that are still missing.
pub(super) fn pay_debt<P: Platform>(node: &Node<P>, jobs: &PoolJobs<P::Clock>) {
    let mut state = jobs.lock();
    let teams: Vec<TeamId> = state.debt.keys().cloned().collect();
    for team in teams {
        let Ok(guard) = node.membership.acquire_permits(&team, Permits(1)) else { continue };
        state.units.entry(team.clone()).or_default().push(guard);
        let left = state.debt.get(&team).copied().unwrap_or_default().saturating_sub(Permits(1));
        if left == Permits::ZERO {
            state.debt.remove(&team);
        } else {
            state.debt.insert(team, left);
        }
    }
}
