//! Queries to the adviser, which knows the workers that may run a step.

use vg_base::prelude::*;

use crate::jobs::job::JobKey;
use crate::workers::worker::WorkerKey;
use crate::{Action, Scheduler, StepId};

/// Maximum number of workers in one query.
const MAX_WORKERS_PER_QUERY: usize = 16;
/// Added to the adviser's expected response time before it is asked again.
const QUERY_MARGIN: Duration = Duration::from_millis(800);
/// Delay after a query without an answer.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Scheduler {
    /// Whether the steps of a job need the adviser's permission.
    pub(crate) fn needs_adviser(&self, key: JobKey) -> bool {
        let queue = self.config.queue_of(&self.jobs[key].spec);
        queue.is_some_and(|queue| queue.adviser.is_some())
    }

    /// Asks the adviser about workers for which it has not answered or its
    /// ticket has expired, unless a query is in progress or failed shortly
    /// before.
    pub(crate) fn ask_adviser(
        &mut self,
        key: JobKey,
        id: StepId,
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let queue = self.config.queue_of(&self.jobs[key].spec);
        let Some(timing) = queue.and_then(|queue| queue.adviser) else { return };
        let Some(step) = self.jobs[key].step(id.occurrence, id.step) else { return };
        if step.tickets.is_paused(now) {
            return;
        }
        let need = self.jobs[key].spec.steps[usize::from(id.step)].reservation();
        let mut candidates: Vec<_> =
            workers.iter().copied().filter(|&each| step.tickets.may_ask(each, now)).collect();
        if candidates.is_empty() {
            return;
        }
        // Workers with sufficient free capacity come first.
        let has_room = |key| self.workers[key].free().is_some_and(|free| need.fits(&free));
        candidates.sort_by_key(|&each| !has_room(each));
        candidates.truncate(MAX_WORKERS_PER_QUERY);
        let pause = timing.base + timing.per_worker * candidates.len() as u32 + QUERY_MARGIN;
        let ids =
            candidates.iter().map(|&each| self.workers[each].incarnation.id.clone()).collect();
        if let Some(step) = self.jobs[key].step_mut(id) {
            step.tickets.paused_until = Some(now + pause);
        }
        self.actions.push(Action::AskAdviser { step: id, workers: ids });
    }

    /// Applies the adviser's answer: `permitted` lists the workers that may run
    /// the step, with their tickets, which are valid for `valid_for` from
    /// `now`; `None` if no answer was received.
    pub fn adviser_answered(
        &mut self,
        id: StepId,
        asked: &[HostId],
        permitted: Option<&[(HostId, SmolStr)]>,
        valid_for: Duration,
        now: Instant,
    ) {
        let Some(&key) = self.job_ids.get(&id.job) else { return };
        let keys: Vec<_> = asked.iter().map(|id| self.worker_ids.get(id).copied()).collect();
        let Some(step) = self.jobs[key].step_mut(id) else { return };
        step.tickets.paused_until = None;
        let Some(permitted) = permitted else {
            step.tickets.paused_until = Some(now + QUERY_RETRY_DELAY);
            return;
        };
        for (id, worker) in asked.iter().zip(keys) {
            let Some(worker) = worker else { continue };
            let ticket = permitted.iter().find(|(each, _)| each == id);
            step.tickets.set(worker, ticket.map(|(_, ticket)| (ticket.clone(), now + valid_for)));
        }
    }
}
