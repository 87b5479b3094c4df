//! Until when the lease of a worker is taken to last, and why, as told to operators.

use derive_more::Display;
use vg_base::prelude::*;

use crate::Scheduler;
use crate::workers::worker::Worker;

/// Why the lease of a worker is taken to last until some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LeaseCause {
    /// This leader has asked for it.
    #[display("renewed")]
    Renewed,
    /// A late call to an earlier incarnation may have renewed it for longer.
    #[display("late-call")]
    LateCall,
    /// This leader has asked for it. A late call may have renewed it for longer, but the
    /// machine was taken away.
    #[display("machine-gone")]
    MachineGone,
    /// The worker has not answered this leader, which knows it from its predecessor.
    #[display("recorded")]
    Recorded,
}

/// The lease of a worker as its leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerLease {
    /// Wall time of the start of the incarnation in milliseconds since 1970.
    pub start_ms: u64,
    /// Time after which nothing can run on the worker if it does not answer.
    pub remaining: Duration,
    /// Why it is taken to last for that long.
    pub cause: LeaseCause,
}

impl Worker {
    /// Returns the reason for [`Worker::last_lease_end`].
    pub(crate) fn lease_cause(&self) -> LeaseCause {
        match self.late_lease.filter(|&late| late > self.lease_end) {
            Some(late) if late == self.last_lease_end() => LeaseCause::LateCall,
            Some(_) => LeaseCause::MachineGone,
            None => LeaseCause::Renewed,
        }
    }
}

impl Scheduler {
    /// Returns the lease of a worker; `None` if the worker is unknown.
    pub fn lease_of(&self, id: &HostId, now: Instant) -> Option<WorkerLease> {
        let worker = &self.workers[*self.worker_ids.get(id)?];
        let (until, cause) = match self.unresolved.expiry(id) {
            Some(until) => (until, LeaseCause::Recorded),
            None => (worker.last_lease_end(), worker.lease_cause()),
        };
        Some(WorkerLease {
            start_ms: worker.incarnation.start_ms,
            remaining: until.saturating_duration_since(now),
            cause,
        })
    }

    /// Returns the longest time for which an incarnation that has not answered this leader
    /// is waited for.
    pub fn longest_unresolved(&self, now: Instant) -> Duration {
        let until = self.unresolved.last_expiry();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
