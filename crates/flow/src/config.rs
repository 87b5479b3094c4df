//! What operators configure: queues, pools and teams.

pub(crate) mod terms;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_jobs::Resources;
use xxhash_rust::xxh3::xxh3_128;

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OperatorConfig {
    /// Version; increases with each accepted change.
    pub version: u64,
    /// Queues by id. Accepted jobs are not to be looked up here, see [`terms`].
    queues: HashMap<QueueId, Queue>,
    /// Pools by id.
    pub pools: HashMap<PoolId, Pool>,
    /// Teams by id. Those of accepted jobs are not to be looked up here, see [`terms`].
    teams: HashMap<TeamId, Team>,
    /// Team of each key, by the key's digest.
    pub keys: HashMap<u128, TeamId>,
    /// Maximum size of the body of a submission in bytes.
    pub body_bytes: usize,
    /// Path prefixes and their queues by host name, longest prefix first.
    pub paths: HashMap<SmolStr, Vec<(SmolStr, QueueId)>>,
}

/// Returns the digest by which a key is looked up, so that keys themselves are
/// neither compared byte by byte nor stored.
pub fn key_digest(key: &[u8]) -> u128 {
    xxh3_128(key)
}

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The pool whose workers run its tasks.
    pub pool: PoolId,
    /// Priority among the pool's queues; 0 comes first.
    pub priority: u32,
    /// Number of failed attempts of a task at which its job fails.
    pub max_failures: u32,
    /// Objective of a job as a multiple of its critical path.
    pub stretch: f64,
    /// Constant that is added to the objective.
    pub slack: Duration,
    /// Whether callers need no key.
    pub public: bool,
    /// Set if only some workers may run a step; the adviser knows which ones.
    pub adviser: Option<AdviserTiming>,
}

/// Timing of the adviser for a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviserTiming {
    /// Constant part of its response time.
    pub base: Duration,
    /// Part of its response time for each worker asked about.
    pub per_worker: Duration,
    /// How long a ticket is valid.
    pub validity: Duration,
}

impl AdviserTiming {
    /// Returns the response time of a query about so many workers.
    pub fn cost(&self, workers: usize) -> Duration {
        self.base + self.per_worker * workers as u32
    }
}

/// A pool of workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pool {
    /// Whether its workers refuse attempts that exceed their capacity.
    pub rejects_overload: bool,
    /// Whether its machines are switched off and wait for other pools.
    pub spare: bool,
}

/// Share of a team of weight 1. Shares count only against each other; this unit leaves
/// room for fractions.
pub const SHARE_UNIT: u32 = 1000;

/// A team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Its share under contention, in units of 1 / [`SHARE_UNIT`].
    pub share: Share,
    /// Maximum resources that it may use at once; zero means no limit.
    pub limit: Resources,
}

impl Team {
    /// Returns `amount`, or the team's limit where that is lower.
    pub(crate) fn capped(&self, amount: &Resources) -> Resources {
        let Resources { cores, memory, accelerators } = self.limit;
        let capped = |limit: u64, value: u64| if limit == 0 { value } else { value.min(limit) };
        Resources::new(
            capped(cores.0.into(), amount.cores.0.into()) as u32,
            capped(memory.0, amount.memory.0),
            capped(accelerators.0.into(), amount.accelerators.0.into()) as u16,
        )
    }

    /// Whether a team that uses `used` may also use `more`.
    pub fn allows(&self, used: &Resources, more: &Resources) -> bool {
        let sum = used.plus(more);
        let is_within =
            |limit: u64, value: u64, added: u64| limit == 0 || added == 0 || value <= limit;
        let limit = &self.limit;
        is_within(limit.cores.0.into(), sum.cores.0.into(), more.cores.0.into())
            && is_within(limit.memory.0, sum.memory.0, more.memory.0)
            && is_within(
                limit.accelerators.0.into(),
                sum.accelerators.0.into(),
                more.accelerators.0.into(),
            )
    }
}

impl OperatorConfig {
    /// Creates a version without queues, pools, teams and keys. The body of a submission has
    /// at most `body_bytes` bytes.
    pub fn new(version: u64, body_bytes: usize) -> OperatorConfig {
        OperatorConfig { version, body_bytes, ..OperatorConfig::default() }
    }

    /// Returns a queue to which jobs can be submitted.
    pub fn present_queue(&self, id: &QueueId) -> Option<&Queue> {
        self.queues.get(id)
    }

    /// Returns a queue for changes.
    pub fn queue_mut(&mut self, id: &QueueId) -> Option<&mut Queue> {
        self.queues.get_mut(id)
    }

    /// Returns all queues to which jobs can be submitted.
    pub fn present_queues(&self) -> impl ExactSizeIterator<Item = (&QueueId, &Queue)> {
        self.queues.iter()
    }

    /// Returns a team of which jobs can be submitted.
    pub fn present_team(&self, id: &TeamId) -> Option<&Team> {
        self.teams.get(id)
    }

    /// Replaces all teams.
    pub fn set_teams(&mut self, teams: HashMap<TeamId, Team>) {
        self.teams = teams;
    }

    /// Removes a team.
    pub fn remove_team(&mut self, id: &TeamId) {
        self.teams.remove(id);
    }

    /// Removes a queue and the path prefixes that lead to it.
    pub fn remove_queue(&mut self, id: &QueueId) {
        self.queues.remove(id);
        self.paths.values_mut().for_each(|prefixes| prefixes.retain(|(_, queue)| queue != id));
    }

    /// Finds the queue of a host name and path, and the rest of the path. The
    /// longest prefix counts.
    pub fn find_queue<'a>(&'a self, host: &str, path: &'a str) -> Option<(&'a QueueId, &'a str)> {
        let prefixes = self.paths.get(host)?;
        let found = prefixes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()));
        found.map(|(prefix, queue)| (queue, &path[prefix.len()..]))
    }

    /// Adds a queue and the path prefix that leads to it.
    pub fn add_queue(&mut self, id: QueueId, host: SmolStr, prefix: SmolStr, queue: Queue) {
        let prefixes = self.paths.entry(host).or_default();
        let at = prefixes.partition_point(|(each, _)| each.len() >= prefix.len());
        prefixes.insert(at, (prefix, id.clone()));
        self.queues.insert(id, queue);
    }
}
