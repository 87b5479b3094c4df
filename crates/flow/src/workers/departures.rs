//! Workers whose machine a command is said to have taken away.
//!
//! Load that this module handles: machines move and are maintained while the service that does
//! it answers late, or answers that a command was done before, and while hosts stand still
//! between an answer and its use. By then another worker may be on the machine, or the same one
//! may run on. So a command ends the attempts of that life alone which was on the machine when
//! it was decided, and only once a poll of that life has failed since. A process that ends
//! breaks its open poll, so that nothing waits for this.

use vg_base::prelude::*;

use crate::pools::machines::{LEAVING_TIME, SentCommand};
use crate::workers::proof::{Exchange, Proof};
use crate::workers::worker::{Worker, WorkerKey};
use crate::{MachineCommand, Scheduler};

/// A command that is said to have taken the machine of a worker away.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Departure {
    pub(crate) command: MachineCommand,
    /// When the command was decided, and when its answer was read.
    pub(crate) seen: Exchange,
}

impl Departure {
    /// Whether it is the end of a worker: a poll has failed since the command was decided, and
    /// no later one was answered.
    pub(crate) fn has_ended(&self, worker: &Worker) -> bool {
        worker.unreachable_since.is_some_and(|since| since >= self.seen.sent)
    }
}

impl Scheduler {
    /// Notes that a command was carried out, now or before, as an answer says that is read at
    /// `now`.
    pub(crate) fn note_departure(&mut self, sent: &SentCommand, now: Instant) {
        let Some(key) = self.commanded_worker(sent) else {
            // The worker that is there now stays.
            return self.uncordon(sent.command.machine());
        };
        let worker = &mut self.workers[key];
        worker.leaving = true;
        worker.cordoned = false;
        worker.backoff_until = Some(now + LEAVING_TIME);
        let seen = Exchange { sent: sent.at, read: now };
        worker.departure = Some(Departure { command: sent.command.clone(), seen });
        self.records_changed = true;
        self.end_departed(key, now);
    }

    /// Returns the worker that a command which was carried out has ended: the one that was on
    /// the machine when it was decided, unless that one may be back from a command before.
    fn commanded_worker(&self, sent: &SentCommand) -> Option<WorkerKey> {
        let key = self.worker_on(sent.command.machine())?;
        let present = &self.workers[key].incarnation;
        let is_asked = sent.life.as_ref().is_some_and(|life| *life == present.life());
        let is_back = match &sent.command {
            MachineCommand::Move { pool, .. } => present.pool == *pool,
            MachineCommand::Maintain { machine, wave } => {
                let active = self.machines.waves.get(wave);
                active.is_none_or(|active| active.may_have_begun(machine))
            }
        };
        (is_asked && !is_back).then_some(key)
    }

    /// Removes the attempts of a worker if a command has ended it.
    pub(crate) fn end_departed(&mut self, key: WorkerKey, now: Instant) {
        let worker = &mut self.workers[key];
        let Some(departure) = &worker.departure else { return };
        if !departure.has_ended(worker) {
            return;
        }
        worker.gone = true;
        for attempt in worker.attempts.clone() {
            let proof = Proof::by_command(&self.attempts[attempt], &self.workers[key]);
            self.remove_proven(attempt, proof, now);
        }
    }
}
