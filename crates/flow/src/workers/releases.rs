//! Why work of earlier leaders counts as resolved: for each task that was recorded on a worker,
//! and for each pool with workers whose tasks were not recorded.

use std::collections::HashMap;

use derive_more::Display;
use vg_base::prelude::*;

use crate::TaskId;
use crate::workers::proof::{Exchange, WorkerLife};
use crate::workers::unresolved::UnresolvedIncarnation;

/// How a worker was resolved that an earlier leader may have given work.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ReleaseCause {
    /// It has answered this leader, and told what it runs.
    #[display("answered")]
    Answered,
    /// Another worker answers from its machine.
    #[display("machine-taken")]
    MachineTaken {
        /// The other worker.
        by: HostId,
    },
    /// It has not answered until its lease had ended, by this host's clock.
    #[display("record-lease")]
    LeaseEnded,
}

/// A worker that was resolved.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{cause}")]
pub struct Release {
    /// The recorded life.
    pub life: WorkerLife,
    /// How it was resolved.
    pub cause: ReleaseCause,
    /// When the call was sent whose answer shows it, and when that was read. For a lease, when
    /// it had ended and when that was noticed.
    pub seen: Exchange,
}

/// The last release of each task and of each pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct Releases {
    tasks: HashMap<TaskId, Release>,
    pools: HashMap<PoolId, Release>,
}

impl Releases {
    /// Notes that an incarnation was resolved.
    pub(crate) fn note(
        &mut self,
        entry: &UnresolvedIncarnation,
        cause: ReleaseCause,
        seen: Exchange,
    ) {
        let release = Release { life: entry.life(), cause, seen };
        match entry.tasks() {
            Some(tasks) => {
                self.tasks.extend(tasks.map(|task| (task, release.clone())));
            }
            None => _ = self.pools.insert(entry.pool().clone(), release),
        }
    }

    /// Returns the last release of a task that may have run in some pools.
    pub(crate) fn of<'a>(
        &self,
        task: TaskId,
        pools: impl Iterator<Item = &'a PoolId>,
    ) -> Option<&Release> {
        let of_pools = pools.filter_map(|pool| self.pools.get(pool));
        self.tasks.get(&task).into_iter().chain(of_pools).max_by_key(|release| release.seen.read)
    }
}
