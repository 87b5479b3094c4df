//! Rounds in which waiting tasks are given to workers.

use std::collections::HashMap;
use std::sync::Arc;

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::job::{Job, JobKey};
use crate::order::{Rank, Standing, rank};
use crate::place::Sought;
use crate::rules::START_LIFE;
use crate::run::{Phase, RunState};
use crate::worker::WorkerKey;
use crate::{Action, Flow, Run, Start, StepId, StopReason, TaskId};

/// Most workers that the adviser is asked about at once.
const ASK_MAX: usize = 16;
/// Added to the adviser's time before it is asked again.
const ASK_MARGIN: Duration = Duration::from_millis(800);

/// One round over one pool.
struct PoolRound {
    workers: Vec<WorkerKey>,
    /// Sizes that fitted nowhere; larger ones are not tried.
    misfits: Vec<Resources>,
}

impl PoolRound {
    fn is_misfit(&self, room: &Resources) -> bool {
        self.misfits.iter().any(|each| each.fits(room))
    }
}

impl Flow {
    /// Decides what to do now, at monotonic time `now` and wall time `wall`.
    pub fn plan(&mut self, now: Instant, wall: SystemTime) -> Vec<Action> {
        self.expire_doubt(now);
        self.expire_workers(now);
        self.chase_unsure(now);
        self.stop_stalled(now);
        self.leave_draining(now);
        self.hold_gangs_together(now);
        self.maintain(now);
        self.resize(now);
        self.place_all(now, wall);
        self.set_paces(now);
        std::mem::take(&mut self.actions)
    }

    /// Moves lasting tasks off workers that are about to leave; others may end
    /// there in time.
    fn leave_draining(&mut self, now: Instant) {
        let draining = self.workers.values().filter(|worker| worker.draining);
        let runs: Vec<_> = draining.flat_map(|worker| worker.runs.iter().copied()).collect();
        for run in runs {
            let lasts = self.spec_of(self.runs[run].task).is_some_and(|spec| spec.lasting);
            if lasts && self.runs[run].is_running() {
                self.stop_run(run, StopReason::WorkerLeaves, now);
            }
        }
    }

    /// Sends stops again for runs that have not been settled.
    fn chase_unsure(&mut self, now: Instant) {
        let open = |phase| matches!(phase, Phase::Unsure | Phase::Stopping);
        let keys: Vec<_> =
            self.runs.iter().filter(|(_, run)| open(run.phase)).map(|(key, _)| key).collect();
        for key in keys {
            let run = &self.runs[key];
            if run.stop_answered.is_none() && self.workers[run.worker].silent.is_none() {
                self.stop_run(key, StopReason::Unanswered, now);
            }
        }
    }

    fn place_all(&mut self, now: Instant, wall: SystemTime) {
        let ranked = self.rank_jobs(wall, now);
        let mut pools = HashMap::new();
        for (_, key) in ranked {
            let pool = self.jobs[key].pool.clone();
            let mut round = pools.remove(&pool).unwrap_or_else(|| self.pool_round(&pool, now));
            self.place_job(key, &mut round, now);
            pools.insert(pool, round);
        }
    }

    fn pool_round(&self, pool: &PoolId, now: Instant) -> PoolRound {
        let usable =
            |worker: &crate::worker::Worker| worker.life.pool == *pool && worker.is_usable(now);
        let workers = self.workers.iter().filter(|(_, worker)| usable(worker));
        PoolRound { workers: workers.map(|(key, _)| key).collect(), misfits: Vec::new() }
    }

    /// Returns the jobs with waiting tasks, the first to serve first.
    pub(crate) fn rank_jobs(&mut self, wall: SystemTime, now: Instant) -> Vec<(Rank, JobKey)> {
        let early = self.rules.early / 2;
        let mut ranked = Vec::new();
        let means = self.mean_work();
        for (key, job) in &mut self.jobs {
            if !job.is_open() {
                continue;
            }
            job.open_rounds(wall, early);
            if !has_waiting(job, now) {
                continue;
            }
            let Some(queue) = self.content.queues.get(&job.spec.queue) else { continue };
            let mean = means.get(&job.spec.queue).copied().unwrap_or(job.work);
            ranked.push((rank(&standing(job, queue, mean, wall)), key));
        }
        ranked.sort_unstable();
        ranked
    }

    fn mean_work(&self) -> HashMap<QueueId, f64> {
        let mut sums: HashMap<QueueId, (f64, f64)> = HashMap::new();
        for job in self.jobs.values() {
            let sum = sums.entry(job.spec.queue.clone()).or_default();
            *sum = (sum.0 + job.work, sum.1 + 1.0);
        }
        sums.into_iter().map(|(queue, (work, count))| (queue, work / count)).collect()
    }

    fn place_job(&mut self, key: JobKey, round: &mut PoolRound, now: Instant) {
        let job = &self.jobs[key];
        // An earlier leader may have started its tasks out of sight.
        if job.revision <= self.fence.0 && self.doubt.covers(&job.pool) {
            return;
        }
        let id = job.id;
        let spec = Arc::clone(&job.spec);
        let mut ready = Vec::new();
        for round in &job.rounds {
            for (at, step) in round.steps.iter().enumerate() {
                if !step.waiting.is_empty() && round.is_ready(&spec, at) {
                    ready.push(StepId { job: id, round: round.number, step: at as u16 });
                }
            }
        }
        for step in ready {
            if spec.steps[usize::from(step.step)].gang {
                self.place_gang(key, step, &round.workers, now);
            } else {
                self.place_step(key, step, round, now);
            }
        }
    }

    fn place_step(&mut self, key: JobKey, id: StepId, round: &mut PoolRound, now: Instant) {
        let spec = Arc::clone(&self.jobs[key].spec);
        let step = &spec.steps[usize::from(id.step)];
        let waiting: Vec<u32> = self.jobs[key]
            .step(id.round, id.step)
            .map(|step| step.waiting.iter().copied().collect())
            .unwrap_or_default();
        let advised = self.is_advised(key);
        if advised {
            self.ask(key, id, &round.workers, now);
        }
        let plain = !advised && step.label.is_none() && step.per_worker.is_none();
        for index in waiting {
            let task = TaskId { step: id, index };
            let state = self.jobs[key].task(task);
            if state.is_none_or(|task| task.not_before.is_some_and(|at| at > now)) {
                continue;
            }
            if (plain && round.is_misfit(&step.room())) || !self.team_allows(key, step) {
                return;
            }
            let found = self.find_for(key, task, &round.workers, now);
            let Some(worker) = found else {
                if plain {
                    round.misfits.push(step.room());
                }
                if step.lasting {
                    self.make_room(key, task, &round.workers, now);
                }
                return;
            };
            let run = self.next_run(key, task);
            self.start(key, task, run, worker, now);
        }
    }

    fn find_for(
        &self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let sought = Sought {
            task,
            spec: job.spec.steps.get(usize::from(task.step.step))?,
            step: job.step(task.step.round, task.step.step)?,
            advised: self.is_advised(key),
            rack: None,
        };
        self.find_place(&sought, workers, &[], now)
    }

    pub(crate) fn is_advised(&self, key: JobKey) -> bool {
        let queue = self.content.queues.get(&self.jobs[key].spec.queue);
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    pub(crate) fn team_allows(&self, key: JobKey, step: &crate::StepSpec) -> bool {
        let Some(team) = &self.jobs[key].spec.team else { return true };
        let Some(limits) = self.content.teams.get(team) else { return true };
        let used = self.used.get(team).copied().unwrap_or_default();
        limits.allows(&used.plus(&self.doubtful_use(team)), &step.need)
    }

    /// Returns what a team may have running out of sight.
    fn doubtful_use(&self, team: &TeamId) -> Resources {
        let mut sum = Resources::ZERO;
        if self.doubt.is_empty() {
            return sum;
        }
        for job in self.jobs.values() {
            let old = job.revision <= self.fence.0 && self.doubt.covers(&job.pool);
            if !old || job.spec.team.as_ref() != Some(team) || !job.is_open() {
                continue;
            }
            for round in &job.rounds {
                for (at, step) in round.steps.iter().enumerate() {
                    if round.is_ready(&job.spec, at) {
                        let need = job.spec.steps[at].need;
                        sum = step.waiting.iter().fold(sum, |sum, _| sum.plus(&need));
                    }
                }
            }
        }
        sum
    }

    pub(crate) fn next_run(&self, key: JobKey, task: TaskId) -> Run {
        let last = self.jobs[key].task(task).map(|task| task.last_run).unwrap_or_default();
        Run(last.0 + 1).max(self.fence.first_run())
    }

    /// Gives a task to a worker.
    pub(crate) fn start(
        &mut self,
        key: JobKey,
        task: TaskId,
        run: Run,
        worker: WorkerKey,
        now: Instant,
    ) {
        let job = &mut self.jobs[key];
        let Some(step) = job.spec.steps.get(usize::from(task.step.step)).cloned() else { return };
        let (payload, team) = (Arc::clone(&job.spec.payload), job.spec.team.clone());
        let Some(state) = job.step_mut(task.step) else { return };
        let ticket = state.tickets.get(worker, now).cloned().unwrap_or_default();
        let Some(state) = state.tasks.get_mut(task.index as usize) else { return };
        state.starts += 1;
        let saved = state.saved.clone();
        let Some(clock) = self.workers[worker].clock else { return };
        let deadline = clock.reading(now) + START_LIFE.as_millis() as u64;
        let bound = START_LIFE.mul_f64(crate::rules::CLOCK_DRIFT) + crate::rules::CLOCK_MARGIN;
        let target = &mut self.workers[worker];
        target.lease_end = target.lease_end.max(now + bound);
        let life = target.life.clone();
        self.insert_run(RunState {
            task,
            run,
            worker,
            room: step.room(),
            need: step.need,
            team,
            phase: Phase::Starting,
            since: now,
            expires: deadline + crate::rules::CLOCK_MARGIN.as_millis() as u64,
            confirmed: None,
            stop_sent: None,
            stop_answered: None,
            needs_stop: false,
            our_stop: false,
            saved: saved.clone(),
            percent: 0,
            moved: now,
            gauge: 0.0,
            pace: 100,
            paced: None,
        });
        self.counts.starts += 1;
        let start = Start { life, task, run, payload, deadline, saved, ticket };
        self.actions.push(Action::Start(start));
    }

    /// Asks the adviser about workers that it has said nothing of.
    pub(crate) fn ask(&mut self, key: JobKey, id: StepId, workers: &[WorkerKey], now: Instant) {
        let queue = self.content.queues.get(&self.jobs[key].spec.queue);
        let Some(advice) = queue.and_then(|queue| queue.advice) else { return };
        let Some(step) = self.jobs[key].step(id.round, id.step) else { return };
        if step.tickets.is_asking(now) {
            return;
        }
        let need = self.jobs[key].spec.steps[usize::from(id.step)].room();
        let mut open: Vec<_> =
            workers.iter().copied().filter(|&each| step.tickets.is_open(each, now)).collect();
        if open.is_empty() {
            return;
        }
        // Workers with room come first.
        open.sort_by_key(|&each| !need.fits(&self.workers[each].free()));
        open.truncate(ASK_MAX);
        let wait = advice.base + advice.each * open.len() as u32 + ASK_MARGIN;
        let ids = open.iter().map(|&each| self.workers[each].life.id.clone()).collect();
        if let Some(step) = self.jobs[key].step_mut(id) {
            step.tickets.asked = Some(now + wait);
        }
        self.actions.push(Action::Ask { step: id, workers: ids });
    }

    /// Takes the adviser's answer; `good` has the workers that may run the step
    /// with their permissions. `None` if no answer came.
    pub fn advised(
        &mut self,
        id: StepId,
        asked: &[HostId],
        good: Option<&[(HostId, SmolStr)]>,
        valid: Duration,
        now: Instant,
    ) {
        let Some(&key) = self.job_ids.get(&id.job) else { return };
        let keys: Vec<_> = asked.iter().map(|id| self.worker_ids.get(id).copied()).collect();
        let Some(step) = self.jobs[key].step_mut(id) else { return };
        step.tickets.asked = None;
        let Some(good) = good else {
            step.tickets.asked = Some(now + ASK_MARGIN / 4);
            return;
        };
        for (id, worker) in asked.iter().zip(keys) {
            let Some(worker) = worker else { continue };
            let ticket = good.iter().find(|(each, _)| each == id);
            step.tickets.set(worker, ticket.map(|(_, ticket)| (ticket.clone(), now + valid)));
        }
    }

    /// Stops work of less weight so that a task that has to run finds room.
    fn make_room(&mut self, key: JobKey, task: TaskId, workers: &[WorkerKey], now: Instant) {
        let Some(spec) = self.spec_of(task).cloned() else { return };
        let Some(step) = self.jobs[key].step(task.step.round, task.step.step) else { return };
        let advised = self.is_advised(key);
        let room = spec.room();
        let mut best: Option<(Duration, WorkerKey, Vec<crate::run::RunKey>)> = None;
        for &worker in workers {
            let state = &self.workers[worker];
            if advised && step.tickets.get(worker, now).is_none() {
                continue;
            }
            if spec.per_worker.is_some_and(|most| {
                state.runs.iter().filter(|&&run| self.runs[run].task.step == task.step).count()
                    as u32
                    >= most
            }) {
                continue;
            }
            // Room that is already being made there is waited for.
            if state.runs.iter().any(|&run| self.runs[run].phase == Phase::Stopping) {
                return;
            }
            let mut young: Vec<_> = state
                .runs
                .iter()
                .copied()
                .filter(|&run| self.runs[run].is_running())
                .filter(|&run| {
                    self.spec_of(self.runs[run].task).is_some_and(|s| !s.lasting && !s.gang)
                })
                .collect();
            young.sort_by_key(|&run| std::cmp::Reverse(self.runs[run].since));
            let mut free = state.free();
            let mut chosen = Vec::new();
            let mut lost = Duration::ZERO;
            for run in young {
                if room.fits(&free) {
                    break;
                }
                lost += now.saturating_duration_since(self.runs[run].since);
                free = free.plus(&self.runs[run].room);
                chosen.push(run);
            }
            if room.fits(&free) && best.as_ref().is_none_or(|(least, ..)| lost < *least) {
                best = Some((lost, worker, chosen));
            }
        }
        for run in best.map(|(.., runs)| runs).unwrap_or_default() {
            self.stop_run(run, StopReason::Preempted, now);
        }
    }
}

fn has_waiting(job: &Job, now: Instant) -> bool {
    let _ = now;
    job.rounds.iter().any(|round| round.steps.iter().any(|step| !step.waiting.is_empty()))
}

fn standing(job: &Job, queue: &crate::Queue, mean: f64, wall: SystemTime) -> Standing {
    let round = job.rounds.first();
    let due = match (job.spec.schedule, round) {
        (Some(schedule), Some(round)) => schedule.due(round.number),
        _ => job.spec.accepted,
    };
    let chain = job.tails.iter().copied().max().unwrap_or_default();
    let (mut left, mut work_left) = (Duration::ZERO, 0.0);
    for (at, step) in round.iter().flat_map(|round| &round.steps).enumerate() {
        if !step.is_done() {
            left = left.max(job.tails[at]);
        }
        work_left += step.waiting.len() as f64 * job.spec.steps[at].task_work();
    }
    Standing {
        lasting: job.spec.is_lasting(),
        priority: queue.priority,
        age: wall.duration_since(due).unwrap_or_default(),
        chain,
        left,
        stretch: queue.stretch,
        slack: queue.slack,
        work: job.work,
        work_left,
        mean,
    }
}
