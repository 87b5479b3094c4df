//! Making room for urgent jobs.

use std::cmp::Reverse;
use std::collections::HashMap;

use vg_base::prelude::*;

use super::Shard;
use crate::job::JobKey;
use crate::worker::Worker;
use crate::workers::{Need, WorkerKey, takes_work};
use crate::{Action, Class, JobState, Now, Resources};

/// Room on each worker that is being made for jobs seen earlier in a round.
type Promised = HashMap<WorkerKey, Resources>;

/// Background jobs to move off one worker.
struct Plan {
    worker: WorkerKey,
    victims: Vec<JobKey>,
    /// What they hold, as a part of the worker.
    cost: f64,
}

impl Shard {
    /// Asks background jobs to write a checkpoint and leave, so that urgent
    /// jobs fit. Gives for how many room is being made.
    pub(super) fn make_room(
        &mut self,
        stuck: &[JobKey],
        may_start: &mut impl FnMut(&TeamId) -> bool,
        now: Now,
    ) -> usize {
        let mut promised = Promised::new();
        let mut made = 0;
        for &key in stuck {
            let team = self.jobs[key].spec.team.clone();
            // A team at its limit would not use the room.
            if !may_start(&team) {
                continue;
            }
            self.actions.push(Action::PermitReleased { team });
            made += usize::from(self.make_room_for(key, &mut promised, now));
        }
        made
    }

    fn make_room_for(&mut self, key: JobKey, promised: &mut Promised, now: Now) -> bool {
        let job = &self.jobs[key];
        let size = self.planned(key, &job.lane());
        let (class, idempotent) = (job.spec.class, job.spec.idempotent);
        let need = Need { size, class, idempotent, avoid: &[], limits: &self.limits };
        let able = self.workers.iter().filter(|(_, worker)| takes_work(worker, &need, now.mono));
        let plans = able.filter_map(|(at, worker)| {
            let taken = promised.get(&at).copied().unwrap_or_default();
            self.plan(at, worker, &size.plus(&taken))
        });
        let Some(plan) = plans.min_by(|a, b| a.cost.total_cmp(&b.cost)) else { return false };
        let taken = promised.entry(plan.worker).or_default();
        *taken = taken.plus(&size);
        for victim in plan.victims {
            self.ask_checkpoint(victim, now);
        }
        true
    }

    /// Plans to free a worker's room for `size`.
    fn plan(&self, at: WorkerKey, worker: &Worker, size: &Resources) -> Option<Plan> {
        // Room that is being made already counts as free.
        let leaving = worker.jobs.iter().filter(|&&key| self.is_leaving(key));
        let mut room = leaving.fold(worker.room(), |room, &key| room.plus(&self.jobs[key].held));
        let movable = worker.jobs.iter().copied().filter(|&key| self.may_move(key));
        let mut victims: Vec<JobKey> = movable.collect();
        // The youngest lose the least by a restart.
        victims.sort_unstable_by_key(|&key| Reverse(self.jobs[key].since));
        let mut plan = Plan { worker: at, victims: Vec::new(), cost: 0.0 };
        for key in victims {
            if size.fits(&room) {
                break;
            }
            room = room.plus(&self.jobs[key].held);
            plan.cost += self.jobs[key].held.dominant_share(&worker.total);
            plan.victims.push(key);
        }
        size.fits(&room).then_some(plan)
    }

    fn is_leaving(&self, key: JobKey) -> bool {
        self.jobs[key].state == JobState::Checkpointing || self.is_cancelled(key)
    }

    /// Whether a background job may be asked to leave.
    ///
    /// One that is not idempotent never is: what it did between its checkpoint
    /// and its stop would be done twice. It can only be throttled.
    pub(super) fn may_move(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        job.state == JobState::Running && job.spec.class == Class::Background && job.spec.idempotent
    }

    /// Asks a running job to write a checkpoint and stop.
    pub(super) fn ask_checkpoint(&mut self, key: JobKey, now: Now) {
        let hopeless = self.jobs[key].no_checkpoint;
        let Some(task) = self.task(key) else { return };
        if self.step(key, JobState::Checkpointing, now) {
            self.jobs[key].heard = now.mono;
            let action = if hopeless { Action::Stop(task) } else { Action::Checkpoint(task) };
            self.actions.push(action);
        }
    }
}
