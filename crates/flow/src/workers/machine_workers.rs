//! Which worker is on a machine: several may be registered there, as the
//! registration of an earlier one lapses later.

use vg_base::prelude::*;

use crate::Scheduler;
use crate::pools::machines::LEAVING_TIME;
use crate::workers::proof::{Exchange, Proof};
use crate::workers::worker::{Worker, WorkerKey};

impl Worker {
    /// Whether a worker on a machine has ended, as another one there has answered a poll that
    /// was sent at `sent`.
    pub(crate) fn is_replaced(&self, machine: &SmolStr, sent: Instant) -> bool {
        self.known_machine() == Some(machine)
            && self.known_since < sent
            && self.unreachable_since.is_some()
    }
}

impl Scheduler {
    /// Returns the worker on a machine: the one that started last of those that are
    /// registered there. The registrations of earlier ones lapse later.
    pub(crate) fn worker_on(&self, machine: &SmolStr) -> Option<WorkerKey> {
        let here = self.machines.workers.get(machine)?.iter().copied();
        let present =
            here.filter(|&key| self.workers[key].registered && !self.workers[key].leaving);
        present.max_by_key(|&key| self.workers[key].incarnation.start_ms)
    }

    /// Enters a worker under its machine, and removes it from an earlier one.
    pub(crate) fn enter_machine(&mut self, key: WorkerKey, earlier: Option<SmolStr>) {
        let machine = self.workers[key].machine.clone();
        if machine == earlier {
            return;
        }
        if let Some(earlier) = earlier {
            self.leave_machine(key, &earlier);
        }
        if let Some(machine) = machine {
            self.machines.workers.entry(machine).or_default().push(key);
        }
    }

    pub(crate) fn leave_machine(&mut self, key: WorkerKey, machine: &SmolStr) {
        if let Some(here) = self.machines.workers.get_mut(machine) {
            here.retain(|&each| each != key);
            if here.is_empty() {
                self.machines.workers.remove(machine);
            }
        }
    }

    /// Marks the other workers on the machine of a worker as gone, as it has answered a poll
    /// that was sent after they were known, and they do not answer: a machine runs one at a
    /// time. Their starts are no evidence, since the machine's wall clock may be set back between
    /// two lives. What they ran has ended; what they were told to start is refused by the
    /// present one.
    pub(crate) fn end_others_on_machine(
        &mut self,
        present: WorkerKey,
        sent: Instant,
        now: Instant,
    ) {
        let worker = &self.workers[present];
        // After a restart its machine is not known before it has registered.
        let Some(machine) = worker.machine.clone().filter(|_| worker.registered) else { return };
        let seen = Exchange { sent, read: now };
        self.clear_others(&worker.incarnation.id.clone(), &machine, seen);
        let here = self.machines.workers.get(&machine).cloned().unwrap_or_default();
        for key in here.into_iter().filter(|&key| key != present) {
            let worker = &self.workers[key];
            if worker.gone || !worker.is_replaced(&machine, sent) {
                continue;
            }
            self.note_restarted_worker(key, now);
            let worker = &mut self.workers[key];
            worker.leaving = true;
            worker.gone = true;
            worker.backoff_until = Some(now + LEAVING_TIME);
            for attempt in worker.attempts.clone() {
                let (on, by) = (&self.workers[key], &self.workers[present]);
                let proof = Proof::by_machine(&self.attempts[attempt], on, by, seen);
                self.remove_proven(attempt, proof, now);
            }
        }
    }
}
