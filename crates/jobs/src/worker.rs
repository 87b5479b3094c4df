//! One worker.

use std::collections::BTreeSet;

use vg_base::prelude::*;

use crate::job::JobKey;
use crate::{Attempt, Health, Resources};

/// A worker as the host list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The host.
    pub host: HostId,
    /// Its rack.
    pub rack: RackId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is leaving; it gets nothing new.
    pub leaving: bool,
}

/// Usage as a worker measured it; it lags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// When it was measured, by the owner's clock.
    pub measured: Instant,
    /// What all tasks use together.
    pub total: Resources,
    /// What each task uses.
    pub tasks: Vec<(JobId, Attempt, Resources)>,
}

/// A worker's answer to a renewal of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The host.
    pub host: HostId,
    /// Its incarnation, new after a start and after a lapsed lease.
    pub incarnation: Incarnation,
    /// When the renewal was sent: the lease counts from there.
    pub sent: Instant,
    /// Usage, if it has measured any.
    pub usage: Option<Usage>,
}

/// Whether a worker can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// Not heard of, or its lease has lapsed.
    Down,
    /// Under its lease.
    Up,
    /// Under its lease, and gets nothing new.
    Leaving,
}

/// A worker with what it runs.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) host: HostId,
    pub(crate) rack: usize,
    pub(crate) zone: usize,
    pub(crate) total: Resources,
    pub(crate) used: Resources,
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) incarnation: Incarnation,
    /// End of the lease; `None` before the first heartbeat.
    pub(crate) lease: Option<Instant>,
    pub(crate) jobs: BTreeSet<JobKey>,
    pub(crate) urgent: usize,
    pub(crate) health: Health,
    pub(crate) usage: Option<Usage>,
    /// Until when it gets nothing, after it had no room for a task.
    pub(crate) crowded: Option<Instant>,
    /// Time of the last relief; only later usage is acted upon.
    pub(crate) relieved: Option<Instant>,
}

impl Worker {
    pub(crate) fn room(&self) -> Resources {
        self.total.minus(&self.used)
    }

    pub(crate) fn state(&self, now: Instant) -> WorkerState {
        let leased = self.lease.is_some_and(|until| now < until);
        match (leased, self.leaving || !self.listed) {
            (false, _) => WorkerState::Down,
            (true, true) => WorkerState::Leaving,
            (true, false) => WorkerState::Up,
        }
    }
}
