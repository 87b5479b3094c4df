//! What the operators' configuration said of a job when it was accepted.
//!
//! Configurations change while accepted jobs wait: queues and teams are removed, replaced
//! by others with the same path, and sent to other pools. A job ends all the same, so its
//! terms are stored with it. A newer configuration overrides them as long as it has the
//! queue, or the team.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use super::{OperatorConfig, Queue, Team};
use crate::JobSpec;

/// What a configuration says of the jobs of one queue and team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobTerms {
    /// Version of the configuration.
    pub version: u64,
    /// The queue.
    pub queue: Queue,
    /// The team; `None` for jobs without a team.
    #[serde(default)]
    pub team: Option<Team>,
}

impl OperatorConfig {
    /// Returns the terms on which jobs of a team are accepted to a queue; `None` if there is
    /// no such queue.
    pub fn terms(&self, queue: &QueueId, team: Option<&TeamId>) -> Option<JobTerms> {
        // Complete, so that whoever adds a table decides whether accepted jobs need it.
        // Pools are only named here: which workers are in one is told by the workers. Keys,
        // paths and the size of bodies count before a job is accepted.
        let OperatorConfig { version, queues, teams, pools: _, keys: _, paths: _, body_bytes: _ } =
            self;
        Some(JobTerms {
            version: *version,
            queue: queues.get(queue)?.clone(),
            team: team.and_then(|team| teams.get(team)).copied(),
        })
    }

    /// Returns the queue of an accepted job: as this configuration has it, else as the job's
    /// terms do. `None` for a job without terms, which an earlier version has stored, whose
    /// queue is gone.
    pub(crate) fn queue_of<'a>(&'a self, spec: &'a JobSpec) -> Option<&'a Queue> {
        let accepted = spec.terms.as_ref().map(|terms| &terms.queue);
        self.overriding_queue(spec).or(accepted)
    }

    /// Returns the pool to which an accepted job goes from the one where it is, if this
    /// configuration says anything of it.
    pub(crate) fn target_pool(&self, spec: &JobSpec) -> Option<&PoolId> {
        self.overriding_queue(spec).map(|queue| &queue.pool)
    }

    /// Returns the queue of an accepted job, unless the job was accepted on a later version.
    fn overriding_queue(&self, spec: &JobSpec) -> Option<&Queue> {
        let is_older = spec.terms.as_ref().is_some_and(|terms| terms.version > self.version);
        self.queues.get(&spec.queue).filter(|_| !is_older)
    }
}
