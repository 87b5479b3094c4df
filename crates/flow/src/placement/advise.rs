//! Queries to the adviser, which knows the workers that may run a step.
//!
//! Load that this module handles: a burst of jobs whose steps all need the adviser, which
//! handles one query at a time and takes longer the more workers a query names. Steps
//! don't ask by themselves. Each round collects the steps that lack permitted workers; the
//! most urgent ones get the few queries that the [`CallWindow`] allows, and the others
//! wait here, where they can still be overtaken, cancelled or found to need no query.

use std::cmp::Ordering;
use std::collections::HashMap;

use vg_base::prelude::*;
use vg_call::{Call, CallKey, CallKind, CallWindow, Failure};

use crate::jobs::job::JobKey;
use crate::placement::place::{Fit, PlacementRequest};
use crate::workers::worker::{Worker, WorkerKey};
use crate::{Action, AdviserTiming, Scheduler, StepId, StepSpec, TaskId};

/// Queries in flight: the adviser handles one at a time, and has the next one at hand.
const MAX_QUERIES: usize = 2;
/// Maximum number of workers in one query.
const MAX_WORKERS_PER_QUERY: usize = 16;
/// Minimum number of workers in one query, if there are so many.
const MIN_WORKERS_PER_QUERY: usize = 4;
/// Part of the workers that may run a step, before there is an answer for its queue.
const INITIAL_PERMITTED: f64 = 0.5;
/// Smallest part that is calculated with.
const MIN_PERMITTED: f64 = 0.1;
/// Weight of an answer about one worker in the part that is permitted.
const PERMITTED_WEIGHT: f64 = 0.05;
/// Workers that are looked at in one round, for all steps together.
const MAX_EXAMINED: usize = 2000;
/// Time for which a step that needed no query is not looked at again.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// The adviser's answer for a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviserAnswer {
    /// Workers that may run the step, each with its ticket.
    pub permitted: Vec<(HostId, SmolStr)>,
    /// How long the tickets are valid.
    pub valid_for: Duration,
}

/// A step that may need a query.
#[derive(Debug, Clone)]
struct Candidate {
    /// Position of its job's timeliness and priority in this round.
    tier: usize,
    job: JobKey,
    pool: PoolId,
    id: StepId,
}

/// The most urgent query for a step.
struct Query {
    workers: Vec<WorkerKey>,
    /// Whether one of them has room now. Otherwise the answer is for later.
    has_room: bool,
    kind: CallKind,
}

/// A worker that a query may name.
struct Choice {
    worker: WorkerKey,
    /// Number of tasks of the step that it has room for.
    room: usize,
    /// Whether it is known to be permitted; its ticket has expired.
    is_known: bool,
    /// How suitable it is, once that is known.
    fit: Option<Fit>,
}

/// What is known of the adviser, and the queries to it.
#[derive(Debug)]
pub(crate) struct Adviser {
    window: CallWindow,
    /// Queries in progress.
    asked: HashMap<StepId, CallKey>,
    /// Steps of this round that may need a query, by tier and in the order of their pools.
    candidates: Vec<Candidate>,
    tier: usize,
    /// Whether queries may be sent in this round.
    is_open: bool,
    /// Number of the last query for each pool, and of the last one at all.
    turns: HashMap<PoolId, u64>,
    turn: u64,
    /// Part of the workers asked about that were permitted, by queue.
    permitted: HashMap<QueueId, f64>,
    /// Number of workers in the last query of each queue.
    named: HashMap<QueueId, usize>,
}

impl Default for Adviser {
    fn default() -> Adviser {
        Adviser {
            window: CallWindow::new(MAX_QUERIES),
            asked: HashMap::new(),
            candidates: Vec::new(),
            tier: 0,
            is_open: false,
            turns: HashMap::new(),
            turn: 0,
            permitted: HashMap::new(),
            named: HashMap::new(),
        }
    }
}

impl Adviser {
    pub(crate) fn begin_round(&mut self, now: Instant) {
        self.candidates.clear();
        self.tier = 0;
        self.is_open = self.window.is_open(now);
        let window = &self.window;
        self.asked.retain(|_, call| window.is_awaited(*call));
    }

    /// Notes that the jobs that follow are less urgent.
    pub(crate) fn begin_tier(&mut self, tier: usize) {
        self.tier = tier;
    }

    /// Returns the part of the workers that may run the steps of a queue.
    fn permitted_part(&self, queue: &QueueId) -> f64 {
        self.permitted.get(queue).copied().unwrap_or(INITIAL_PERMITTED).max(MIN_PERMITTED)
    }

    fn learn(&mut self, queue: &QueueId, is_permitted: bool) {
        let part = self.permitted.entry(queue.clone()).or_insert(INITIAL_PERMITTED);
        *part += (f64::from(u8::from(is_permitted)) - *part) * PERMITTED_WEIGHT;
    }

    /// Takes the most urgent step: of the first tier, and of the pool that has waited for
    /// longest.
    fn take_first(&mut self) -> Option<Candidate> {
        let turn = |each: &Candidate| self.turns.get(&each.pool).copied().unwrap_or_default();
        let order = |(at, each): (usize, &Candidate)| (each.tier, turn(each), at);
        let (_, _, first) = self.candidates.iter().enumerate().map(order).min()?;
        Some(self.candidates.remove(first))
    }
}

impl Scheduler {
    /// Whether the steps of a job need the adviser's permission.
    pub(crate) fn needs_adviser(&self, key: JobKey) -> bool {
        self.adviser_timing(key).is_some()
    }

    /// Returns the time that a query of a queue takes the adviser; none if it asks none.
    pub(crate) fn query_time(&self, queue: &QueueId) -> Duration {
        let timing = self.config.present_queue(queue).and_then(|queue| queue.adviser);
        let named = self.adviser.named.get(queue).copied().unwrap_or(MIN_WORKERS_PER_QUERY);
        let cost = timing.map_or(Duration::ZERO, |timing| timing.cost(named));
        self.adviser.window.expected(cost)
    }

    /// Returns the time that the queries in flight still take the adviser.
    pub(crate) fn query_backlog(&self, now: Instant) -> Duration {
        let until = self.adviser.window.busy_until();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn adviser_timing(&self, key: JobKey) -> Option<AdviserTiming> {
        self.config.queue_of(&self.jobs[key].spec)?.adviser
    }

    /// Notes that a step may need a query in this round. Steps of equal urgency are noted
    /// in the order in which they are served.
    pub(crate) fn request_advice(&mut self, key: JobKey, id: StepId, now: Instant) {
        if !self.adviser.is_open {
            return;
        }
        let step = self.jobs[key].step(id.occurrence, id.step);
        let reviewed = step.and_then(|step| step.tickets.reviewed);
        if reviewed.is_some_and(|at| now.saturating_duration_since(at) < REVIEW_INTERVAL) {
            return;
        }
        let pool = self.jobs[key].pool().clone();
        self.adviser.candidates.push(Candidate { tier: self.adviser.tier, job: key, pool, id });
    }

    /// Sends the most urgent queries that the window allows. One for workers that have no
    /// room yet is sent only if the adviser has nothing else to do.
    pub(crate) fn ask_adviser(&mut self, now: Instant) {
        let mut for_later = None;
        let mut pools: HashMap<PoolId, Vec<WorkerKey>> = HashMap::new();
        let mut examined = 0;
        while self.adviser.is_open
            && examined < MAX_EXAMINED
            && let Some(candidate) = self.adviser.take_first()
        {
            if self.adviser.asked.contains_key(&candidate.id) {
                continue;
            }
            let pool = candidate.pool.clone();
            let workers = pools.entry(pool).or_insert_with_key(|id| self.usable_workers(id, now));
            examined += workers.len();
            match self.query_for(&candidate, workers, now) {
                Some(query) if query.has_room => self.send_query(&candidate, &query, now),
                Some(query) => _ = for_later.get_or_insert((candidate, query)),
                None => self.note_review(&candidate, now),
            }
        }
        if let Some((candidate, query)) = for_later
            && self.adviser.window.is_idle(now)
        {
            self.send_query(&candidate, &query, now);
        }
    }

    /// Notes that a step needs no query now.
    fn note_review(&mut self, candidate: &Candidate, now: Instant) {
        if let Some(job) = self.jobs.get_mut(candidate.job)
            && let Some(step) = job.step_mut(candidate.id)
        {
            step.tickets.reviewed = Some(now);
        }
    }

    fn send_query(&mut self, candidate: &Candidate, query: &Query, now: Instant) {
        let Some(timing) = self.adviser_timing(candidate.job) else { return };
        let call = Call { cost: timing.cost(query.workers.len()), kind: query.kind };
        let adviser = &mut self.adviser;
        let Some(permit) = adviser.window.admit(call, now) else { return };
        adviser.asked.insert(candidate.id, permit.key());
        adviser.named.insert(self.jobs[candidate.job].spec.queue.clone(), query.workers.len());
        adviser.turn += 1;
        adviser.turns.insert(candidate.pool.clone(), adviser.turn);
        adviser.is_open = adviser.window.is_open(now);
        let id = |&each: &WorkerKey| self.workers[each].incarnation.id.clone();
        let workers = query.workers.iter().map(id).collect();
        self.actions.push(Action::AskAdviser { step: candidate.id, workers, permit });
    }

    /// Returns the query that a step needs: enough workers for its waiting tasks, the most
    /// suitable ones first. `None` if the permitted ones suffice or all are known.
    fn query_for(
        &self,
        candidate: &Candidate,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<Query> {
        let job = self.jobs.get(candidate.job)?;
        let spec = job.spec.steps.get(usize::from(candidate.id.step))?;
        let step = job.step(candidate.id.occurrence, candidate.id.step)?;
        let index = step.waiting.first().copied().unwrap_or_default();
        let request = PlacementRequest {
            task: TaskId { step: candidate.id, index },
            spec,
            step,
            advised: false,
            at_risk: false,
            rack: None,
        };
        // A task that has to move from its worker is not waiting.
        let waiting = step.waiting.len().max(1);
        let mut covered = 0;
        let mut choices = Vec::new();
        for worker in self.workers_for_whole(&candidate.pool, spec, workers, now) {
            if !self.meets_conditions(&request, worker, &self.workers[worker], &[], now) {
                continue;
            }
            let room = self.room_for(spec, candidate.id, &self.workers[worker]);
            if step.tickets.may_ask(worker, now) {
                choices.push(Choice {
                    worker,
                    room,
                    is_known: step.tickets.is_known(worker),
                    fit: None,
                });
            } else if step.tickets.get(worker, now).is_some() {
                covered += room;
            }
        }
        if choices.is_empty() || (covered >= waiting && !spec.gang) {
            return None;
        }
        self.sort_choices(&mut choices, &request, now);
        let permitted = self.adviser.permitted_part(&job.spec.queue);
        let count = match spec.gang {
            true => MAX_WORKERS_PER_QUERY,
            false => count_needed(&choices, waiting - covered, permitted),
        };
        choices.truncate(count);
        Some(Query {
            has_room: choices.iter().any(|each| each.room > 0),
            workers: choices.into_iter().map(|each| each.worker).collect(),
            kind: if step.tickets.has_failed { CallKind::Retry } else { CallKind::First },
        })
    }

    /// Sorts workers with room first, of these the permitted ones, then the most suitable.
    fn sort_choices(&self, choices: &mut [Choice], request: &PlacementRequest<'_>, now: Instant) {
        for each in choices.iter_mut() {
            let worker = &self.workers[each.worker];
            let free = worker.free().unwrap_or_default();
            each.fit = Some(self.fit(request, each.worker, worker, &free, 0, now));
        }
        choices.sort_by(|a, b| {
            let order = (a.room == 0, !a.is_known).cmp(&(b.room == 0, !b.is_known));
            order.then(a.fit.partial_cmp(&b.fit).unwrap_or(Ordering::Equal))
        });
    }

    /// Returns how many more tasks of a step fit on a worker now.
    fn room_for(&self, spec: &StepSpec, id: StepId, worker: &Worker) -> usize {
        if worker.trial.is_some() {
            return 0;
        }
        let mut free = worker.free().unwrap_or_default();
        if !spec.continuous {
            free = free.minus(&worker.drain_reserve);
        }
        let limit = spec.per_worker.map_or(spec.count, |max_tasks| {
            max_tasks.saturating_sub(self.tasks_on(worker, id)).min(spec.count)
        });
        let reservation = spec.reservation();
        let mut room = 0;
        while room < limit as usize && reservation.fits(&free) {
            free = free.minus(&reservation);
            room += 1;
        }
        room
    }

    /// Applies the adviser's answer about the workers in `asked`, or notes that there was
    /// none. `call` is the key of the query's permit.
    pub fn adviser_answered(
        &mut self,
        id: StepId,
        call: CallKey,
        asked: &[HostId],
        answer: Result<&AdviserAnswer, Failure>,
        now: Instant,
    ) {
        let adviser = &mut self.adviser;
        match answer {
            Ok(_) => adviser.window.answered(call, now),
            Err(failure) => adviser.window.failed(call, failure, now),
        }
        if adviser.asked.get(&id) == Some(&call) {
            adviser.asked.remove(&id);
        }
        let Some(&key) = self.job_ids.get(&id.job) else { return };
        let queue = self.jobs[key].spec.queue.clone();
        let keys: Vec<_> = asked.iter().map(|id| self.worker_ids.get(id).copied()).collect();
        let Some(step) = self.jobs[key].step_mut(id) else { return };
        step.tickets.has_failed = answer.is_err();
        let Ok(answer) = answer else { return };
        for (id, worker) in asked.iter().zip(keys) {
            let Some(worker) = worker else { continue };
            let ticket = answer.permitted.iter().find(|(each, _)| each == id);
            self.adviser.learn(&queue, ticket.is_some());
            let ticket = ticket.map(|(_, ticket)| (ticket.clone(), now + answer.valid_for));
            step.tickets.set(worker, ticket);
        }
    }
}

/// Returns how many of the workers to name, so that those that are permitted probably have
/// room for `tasks`.
fn count_needed(choices: &[Choice], tasks: usize, permitted: f64) -> usize {
    let mut expected = 0.0;
    let enough = choices.iter().position(|each| {
        expected += each.room as f64 * if each.is_known { 1.0 } else { permitted };
        expected >= tasks as f64
    });
    let count = enough.map_or(choices.len(), |at| at + 1);
    count.clamp(MIN_WORKERS_PER_QUERY, MAX_WORKERS_PER_QUERY)
}
