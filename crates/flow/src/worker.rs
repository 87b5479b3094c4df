//! Workers and their lives.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::TaskId;
use crate::attempt::AttemptKey;

slotmap::new_key_type! {
    /// Key of a worker in its table.
    pub struct WorkerKey;
}

/// One life of a worker: from a start of its process to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{id}@{start_ms}")]
pub struct WorkerIncarnation {
    /// The worker.
    pub id: HostId,
    /// Wall time of the start in milliseconds since 1970, as the worker says it.
    #[serde(rename = "born")]
    pub start_ms: u64,
    /// Its pool.
    pub pool: PoolId,
    /// Where it takes orders.
    pub addr: std::net::SocketAddr,
}

/// What a worker registers about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerRegistration {
    /// The life that it speaks for.
    pub incarnation: WorkerIncarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is about to leave.
    pub draining: bool,
    /// What it has in all.
    pub capacity: Resources,
    /// Its kind, rack and other labels.
    pub labels: Vec<SmolStr>,
    /// The machine that it runs on.
    pub machine: Option<SmolStr>,
}

/// Estimate of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerClock {
    /// Its reading in milliseconds.
    pub(crate) reading_ms: u64,
    /// When the answer that brought it came: the true reading then was not
    /// less. A look waits at the worker before the clock is read.
    pub(crate) at: Instant,
}

impl WorkerClock {
    /// Returns a reading that the worker's clock has not passed by much.
    pub(crate) fn reading(&self, now: Instant) -> u64 {
        self.reading_ms + now.saturating_duration_since(self.at).as_millis() as u64
    }
}

/// A worker as the leader sees it.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) incarnation: WorkerIncarnation,
    pub(crate) capacity: Resources,
    pub(crate) labels: Vec<SmolStr>,
    pub(crate) rack: Option<SmolStr>,
    pub(crate) machine: Option<SmolStr>,
    /// Registered in the store.
    pub(crate) registered: bool,
    pub(crate) draining: bool,
    /// The life is durable, so that a next leader knows of it.
    pub(crate) recorded: bool,
    /// The record says when its lease ends: it is not renewed before the record
    /// says otherwise.
    pub(crate) lease_capped: bool,
    /// The record says, or is about to say, all that may run on it: it gets
    /// nothing before the record is open again.
    pub(crate) sealed: bool,
    /// It answered this leader in this life.
    pub(crate) polled: bool,
    pub(crate) attempts: Vec<AttemptKey>,
    pub(crate) used: Resources,
    pub(crate) clock: Option<WorkerClock>,
    /// Time after which nothing that was told to it can still run.
    pub(crate) lease_end: Instant,
    /// Ends up to here are in memory.
    pub(crate) received: u64,
    /// Ends up to here are durable.
    pub(crate) acknowledged: u64,
    /// Ends in memory that are not durable: number and task.
    pub(crate) uncommitted_ends: Vec<(u64, TaskId)>,
    /// Its last list of ends was not whole.
    pub(crate) ends_truncated: bool,
    /// When a look was last answered.
    pub(crate) last_poll: Option<Instant>,
    /// When looks began to fail without a break.
    pub(crate) unreachable_since: Option<Instant>,
    /// No new starts until then, after refusals or failures.
    pub(crate) backoff_until: Option<Instant>,
    /// Failed runs of different jobs without a good one between them.
    pub(crate) failed_jobs: Vec<JobId>,
    /// How often it was put to rest for failures.
    pub(crate) backoffs: u32,
    /// It is being emptied for maintenance or a move.
    pub(crate) cordoned: bool,
    /// An order to its machine was sent: its runs end by it.
    pub(crate) leaving: bool,
}

impl Worker {
    pub(crate) fn new(registration: &WorkerRegistration, now: Instant) -> Worker {
        Worker {
            incarnation: registration.incarnation.clone(),
            capacity: registration.capacity,
            labels: registration.labels.clone(),
            rack: rack_of(&registration.labels),
            machine: registration.machine.clone(),
            registered: true,
            draining: registration.draining,
            recorded: false,
            lease_capped: false,
            sealed: false,
            polled: false,
            attempts: Vec::new(),
            used: Resources::ZERO,
            clock: None,
            lease_end: now,
            received: 0,
            acknowledged: 0,
            uncommitted_ends: Vec::new(),
            ends_truncated: false,
            last_poll: None,
            unreachable_since: None,
            backoff_until: None,
            failed_jobs: Vec::new(),
            backoffs: 0,
            cordoned: false,
            leaving: false,
        }
    }

    /// Returns the room that is left.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    /// Gives it nothing, and no longer lease, before it is recorded anew: the
    /// record says when its lease ends.
    pub(crate) fn require_record(&mut self) {
        self.recorded = false;
        self.lease_capped = true;
    }

    /// Whether new work can be given to it.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.registered
            && !self.draining
            && self.recorded
            && !self.sealed
            && self.polled
            && !self.cordoned
            && !self.leaving
            && self.unreachable_since.is_none()
            && self.clock.is_some()
            && self.backoff_until.is_none_or(|until| until <= now)
    }
}

/// Returns the rack among a worker's labels: the last one, after its kind.
fn rack_of(labels: &[SmolStr]) -> Option<SmolStr> {
    labels.last().cloned()
}
