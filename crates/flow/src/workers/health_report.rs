//! Changes of the workers' health and the worst workers, for the operators.
//!
//! Load that this module handles: in a fleet of thousands of workers many change at once.
//! Changes that wait to be taken are bounded in number, and only the worst workers are
//! listed.

use vg_base::prelude::*;

use crate::Scheduler;
use crate::workers::quarantine::WorkerEvidence;
use crate::workers::worker::WorkerKey;

/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 256;
/// Number of workers that are reported.
const WORST_WORKERS: usize = 10;

/// A change of the workers' health.
#[derive(Debug, Clone, PartialEq)]
pub enum HealthChange {
    /// A worker gets only a few tasks at a time, because of the evidence.
    Quarantined {
        /// The worker.
        worker: HostId,
        /// What its last attempts show about it.
        evidence: WorkerEvidence,
    },
    /// A worker gets work like others again.
    Returned {
        /// The worker.
        worker: HostId,
        /// What was seen of it in the last stage.
        evidence: WorkerEvidence,
    },
    /// Several workers of a rack are doubtful at the same time.
    RackFault {
        /// The rack.
        rack: SmolStr,
        /// The workers.
        workers: Vec<HostId>,
    },
}

/// A worker and what its last attempts show about it.
#[derive(Debug, Clone, PartialEq)]
pub struct DoubtfulWorker {
    /// The worker.
    pub worker: HostId,
    /// What its last attempts show about it.
    pub evidence: WorkerEvidence,
    /// Whether it gets only a few tasks at a time.
    pub quarantined: bool,
}

impl Scheduler {
    /// Returns the changes since the last call.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.quarantine.changes)
    }

    /// Returns the worst workers, at most ten: those on probation first.
    pub fn worst_workers(&self, now: Instant) -> Vec<DoubtfulWorker> {
        let mut found: Vec<_> = self
            .workers
            .iter()
            .map(|(key, worker)| DoubtfulWorker {
                worker: worker.incarnation.id.clone(),
                evidence: self.evidence(key, now),
                quarantined: worker.health.probation.is_some(),
            })
            .filter(|each| each.quarantined || each.evidence.badness() > 0.0)
            .collect();
        found.sort_by(|a, b| {
            let badness = |each: &DoubtfulWorker| each.evidence.badness();
            b.quarantined.cmp(&a.quarantined).then(badness(b).total_cmp(&badness(a)))
        });
        found.truncate(WORST_WORKERS);
        found
    }

    /// Notes a change of a worker. Later changes are dropped if nobody takes them.
    pub(crate) fn note_change(
        &mut self,
        change: impl FnOnce(HostId) -> HealthChange,
        worker: WorkerKey,
    ) {
        let id = self.workers[worker].incarnation.id.clone();
        if self.quarantine.changes.len() < MAX_CHANGES {
            self.quarantine.changes.push(change(id));
        }
    }
}
