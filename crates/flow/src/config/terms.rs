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
        self.resolve_queue(spec).map(AcceptedQueue::queue)
    }

    /// Returns the same, and whether this configuration has it.
    pub(crate) fn resolve_queue<'a>(&'a self, spec: &'a JobSpec) -> Option<AcceptedQueue<'a>> {
        let terms = spec.terms.as_ref();
        let is_older = terms.is_some_and(|terms| terms.version > self.version);
        match self.queues.get(&spec.queue).filter(|_| !is_older) {
            Some(queue) => Some(AcceptedQueue::Present(queue)),
            None => terms.map(|terms| AcceptedQueue::Former(&terms.queue)),
        }
    }
}

/// The queue of an accepted job.
#[derive(Debug, Clone, Copy)]
pub(crate) enum AcceptedQueue<'a> {
    /// As the present configuration has it.
    Present(&'a Queue),
    /// As it was when the job was accepted: it is gone, or the present configuration is older.
    Former(&'a Queue),
}

impl<'a> AcceptedQueue<'a> {
    pub(crate) fn queue(self) -> &'a Queue {
        match self {
            AcceptedQueue::Present(queue) | AcceptedQueue::Former(queue) => queue,
        }
    }

    /// Returns the pool to which its jobs go from the one where they are, if any
    /// configuration says so.
    pub(crate) fn target(self) -> Option<&'a PoolId> {
        match self {
            AcceptedQueue::Present(queue) => Some(&queue.pool),
            AcceptedQueue::Former(_) => None,
        }
    }
}
