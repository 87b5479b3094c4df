//! A worker and its answers to lease renewals.

use std::collections::BTreeSet;

use vg_base::prelude::*;

use crate::job::JobKey;
use crate::{Attempt, Health, Resources};

/// A worker as described by the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The host.
    pub host: HostId,
    /// Rack of the host.
    pub rack: RackId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is leaving. A leaving worker gets no new jobs.
    pub leaving: bool,
}

/// Resource usage as measured by a worker. It lags behind the current usage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// Time of the measurement, by the owner's clock.
    pub measured: Instant,
    /// Usage of all tasks together.
    pub total: Resources,
    /// Usage of each task.
    pub tasks: Vec<(JobId, Attempt, Resources)>,
}

/// A worker's answer to a renewal of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The host.
    pub host: HostId,
    /// Incarnation of the worker. A worker has a new one after its process starts and
    /// after its lease expires.
    pub incarnation: Incarnation,
    /// Time at which the renewal was sent. The lease is counted from this time.
    pub sent: Instant,
    /// The measured usage, if there is any.
    pub usage: Option<Usage>,
}

/// Whether a worker can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker has not answered yet, or its lease has expired.
    Down,
    /// The worker has a valid lease.
    Up,
    /// The worker has a valid lease but gets no new jobs.
    Leaving,
}

/// A worker with the jobs assigned to it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) host: HostId,
    pub(crate) rack: usize,
    pub(crate) zone: usize,
    pub(crate) capacity: Resources,
    /// Resources reserved for the jobs assigned to the worker.
    pub(crate) reserved: Resources,
    /// Whether the worker is in the host list.
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) incarnation: Incarnation,
    /// End of the lease, or `None` before the first heartbeat.
    pub(crate) lease_end: Option<Instant>,
    pub(crate) jobs: BTreeSet<JobKey>,
    /// Number of urgent jobs assigned to the worker.
    pub(crate) urgent_jobs: usize,
    pub(crate) health: Health,
    pub(crate) usage: Option<Usage>,
    /// Time until which the worker gets no jobs, because it had insufficient
    /// capacity for a task.
    pub(crate) full_until: Option<Instant>,
    /// Time when tasks of the worker were last moved off, throttled or unthrottled
    /// because of its load. Only usage measured later is acted upon.
    pub(crate) relieved_at: Option<Instant>,
}

impl Worker {
    /// Returns the resources that are not reserved.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(&self.reserved)
    }

    pub(crate) fn state(&self, now: Instant) -> WorkerState {
        let leased = self.lease_end.is_some_and(|until| now < until);
        match (leased, self.leaving || !self.listed) {
            (false, _) => WorkerState::Down,
            (true, true) => WorkerState::Leaving,
            (true, false) => WorkerState::Up,
        }
    }
}
