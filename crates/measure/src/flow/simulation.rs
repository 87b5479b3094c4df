//! Runs the scheduler in simulated time with workers that do not fail.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

use vg_base::prelude::*;
use vg_flow::{
    Action, AttemptOutcome, FencingToken, JobSpec, OperatorConfig, Pool, Queue, RecordKind,
    SHARE_UNIT, Scheduler, SchedulingRules, StartCommand, StepSpec, Team, WorkerIncarnation,
    WorkerRegistration,
};
use vg_jobs::Resources;
use vg_standin::{SimulatedWorker, TaskAttempt};

use super::arrivals::{Arrival, SLACK_MS, STRETCH, WORKER_CORES, Workload};

/// Time between two rounds of decisions, in milliseconds.
pub(crate) const ROUND_MS: u64 = 20;
/// Rounds between two reports of a worker on which nothing ends.
const REPORT_ROUNDS: u64 = 10;
/// Time that a worker takes to stop an attempt.
const STOP_MS: u64 = 150;
/// Memory of a worker and of a task in bytes; it is never scarce.
const WORKER_MEMORY: u64 = 64 << 30;
const TASK_MEMORY: u64 = 1 << 20;

/// A scheduler, its workers and the jobs that were submitted.
pub struct Simulation {
    /// The time 0 of the run.
    base: Instant,
    /// The present time in milliseconds from the start.
    pub(crate) ms: u64,
    pub(crate) scheduler: Scheduler,
    workers: Vec<SimulatedWorker>,
    worker_at: HashMap<HostId, usize>,
    /// When an attempt ends on a worker: the time in milliseconds and the worker.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    jobs: Vec<Arrival>,
    job_at: HashMap<JobId, usize>,
    /// When each job has ended, in milliseconds from the start.
    pub ended_ms: Vec<Option<u64>>,
    /// Real time that each round of decisions took.
    pub rounds: Vec<Duration>,
}

impl Simulation {
    /// Returns a run in which the workers of all pools are known and no job is.
    pub fn new(workload: &Workload) -> Simulation {
        let base = Instant::now();
        let config = Arc::new(config(workload));
        let rules = SchedulingRules {
            stop_time: Duration::from_millis(STOP_MS),
            ..SchedulingRules::default()
        };
        let scheduler = Scheduler::new(rules, FencingToken(1), config, base);
        let mut simulation = Simulation {
            base,
            ms: 0,
            scheduler,
            workers: Vec::new(),
            worker_at: HashMap::new(),
            due: BinaryHeap::new(),
            jobs: Vec::new(),
            job_at: HashMap::new(),
            ended_ms: Vec::new(),
            rounds: Vec::new(),
        };
        for queue in workload.queues().keys() {
            (0..workload.pool_workers).for_each(|_| simulation.add_worker(queue.as_str()));
        }
        let records = simulation.scheduler.incarnation_records(base);
        let token = simulation.scheduler.token();
        simulation.scheduler.records_written(&records, token);
        // The first poll tells the worker's clock, the second one renews its lease.
        (0..2 * simulation.workers.len()).for_each(|at| simulation.poll(at / 2));
        simulation
    }

    /// Replays the arrivals of a workload until all jobs have ended or none has value.
    pub fn replay(workload: &Workload) -> Simulation {
        let mut simulation = Simulation::new(workload);
        let mut arrivals = workload.arrivals.iter().peekable();
        let end_ms = workload.end_ms();
        while simulation.ms <= end_ms
            && (arrivals.peek().is_some() || simulation.ended_ms.iter().any(Option::is_none))
        {
            simulation.advance();
            while let Some(arrival) = arrivals.next_if(|each| each.at_ms <= simulation.ms) {
                simulation.submit(arrival.clone());
            }
            simulation.decide();
        }
        simulation.ended_ms.resize(workload.arrivals.len(), None);
        simulation
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.ms)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.ms)
    }

    fn add_worker(&mut self, pool: &str) {
        let at = self.workers.len();
        let capacity = Resources::new(WORKER_CORES, WORKER_MEMORY, 0);
        let worker = SimulatedWorker::new(&format!("w{at}"), pool, "", 0, capacity);
        let incarnation = WorkerIncarnation {
            id: parse(&worker.id),
            start_ms: 0,
            pool: parse(pool),
            addr: ([127, 0, 0, 1], 1).into(),
        };
        self.worker_at.insert(incarnation.id.clone(), at);
        self.workers.push(worker);
        let registration = WorkerRegistration {
            incarnation,
            zone: parse("z"),
            draining: false,
            capacity,
            cold_left: Duration::ZERO,
            labels: Vec::new(),
            machine: None,
        };
        self.scheduler.register(&registration, self.now());
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, arrival: Arrival) {
        let id = JobId::new(self.jobs.len() as u128 + 1);
        let spec = Arc::new(spec(&arrival));
        self.job_at.insert(id, self.jobs.len());
        self.jobs.push(arrival);
        self.ended_ms.push(None);
        // Revisions above the leader's token: no earlier leader knew the jobs.
        self.scheduler.add_job(id, spec, self.jobs.len() as u64 + 1, self.now());
    }

    /// Advances the time to the next round: attempts end, and workers report.
    pub(crate) fn advance(&mut self) {
        self.ms += ROUND_MS;
        while let Some(&Reverse((at_ms, at))) = self.due.peek()
            && at_ms <= self.ms
        {
            self.due.pop();
            if !self.workers[at].advance(self.ms).is_empty() {
                self.poll(at);
            }
        }
        let first = self.ms / ROUND_MS % REPORT_ROUNDS;
        for at in (first as usize..self.workers.len()).step_by(REPORT_ROUNDS as usize) {
            self.poll(at);
        }
        self.commit();
    }

    /// Polls a worker.
    fn poll(&mut self, at: usize) {
        let (now, ms) = (self.now(), self.ms);
        let worker = &mut self.workers[at];
        let id: HostId = parse(&worker.id);
        let Some(renewal) = self.scheduler.renewal(&id, now) else { return };
        let report = worker.poll(renewal.token, renewal.deadline_ms, renewal.acknowledged, ms);
        if let Some(report) = report {
            self.scheduler.apply_report(&id, &report, now, now);
        }
    }

    /// Makes all that has changed durable.
    fn commit(&mut self) {
        let batch = self.scheduler.next_batch();
        for record in &batch.records {
            if let RecordKind::End(_) = record.kind {
                self.ended_ms[self.job_at[&record.job]] = Some(self.ms);
            }
        }
        self.scheduler.batch_committed(&batch);
    }

    /// Makes one round of decisions, and carries them out.
    pub(crate) fn decide(&mut self) {
        let (now, wall) = (self.now(), self.wall());
        let begin = Instant::now();
        let actions = self.scheduler.plan(now, wall);
        self.rounds.push(begin.elapsed());
        for action in actions {
            match action {
                Action::Start(start) => self.start(&start),
                Action::Stop { incarnation, token, task, attempt, .. } => {
                    let at = self.worker_at[&incarnation.id];
                    self.workers[at].stop(task, attempt, token, STOP_MS, self.ms);
                    self.due.push(Reverse((self.ms + STOP_MS, at)));
                    self.scheduler.stop_answered(&incarnation, task, attempt, now);
                }
                Action::Machine(_) | Action::Throttle { .. } | Action::AskAdviser { .. } => {}
            }
        }
    }

    fn start(&mut self, start: &StartCommand) {
        let at = self.worker_at[&start.incarnation.id];
        let job = &self.jobs[self.job_at[&start.task.step.job]];
        let step = &job.steps[usize::from(start.task.step.step)];
        let task_ms = step.task_ms[start.task.index as usize];
        let attempt = TaskAttempt {
            task: start.task,
            attempt: start.attempt,
            started_ms: 0,
            finish_ms: task_ms,
            outcome: AttemptOutcome::Done,
            reservation: Resources::new(step.millicores, TASK_MEMORY, 0),
            continuous: false,
            stop_ms: None,
        };
        let answer = self.workers[at].start(start, attempt, self.ms);
        self.due.push(Reverse((self.ms + task_ms, at)));
        self.scheduler.start_answered(start.task, start.attempt, answer, self.now());
    }
}

/// Parses a name that this program has made or that was parsed before.
pub(crate) fn parse<T: std::str::FromStr>(name: &str) -> T {
    name.parse().unwrap_or_else(|_| unreachable!("`{name}` is a valid name"))
}

/// Returns a configuration with a pool for each queue and without limits of teams.
fn config(workload: &Workload) -> OperatorConfig {
    let mut config = OperatorConfig::new(1, 0);
    for id in workload.queues().into_keys() {
        let pool: PoolId = parse(id.as_str());
        config.pools.insert(pool.clone(), Pool { rejects_overload: true, spare: false });
        let queue = Queue {
            pool,
            priority: 0,
            max_failures: 3,
            stretch: STRETCH,
            slack: Duration::from_millis(SLACK_MS),
            public: false,
            adviser: None,
        };
        let prefix = SmolStr::new(id.as_str());
        config.add_queue(id, SmolStr::default(), prefix, queue);
    }
    let team = |share: f64| Team {
        share: Share((share * f64::from(SHARE_UNIT)).round().max(1.0) as u32),
        limit: Resources::ZERO,
    };
    let shares: &BTreeMap<TeamId, f64> = &workload.shares;
    config.set_teams(shares.iter().map(|(id, &share)| (id.clone(), team(share))).collect());
    config
}

fn spec(arrival: &Arrival) -> JobSpec {
    let steps = arrival.steps.iter().enumerate().map(|(at, step)| StepSpec {
        count: step.task_ms.len() as u32,
        need: Resources::new(step.millicores, TASK_MEMORY, 0),
        estimate: Duration::from_millis(step.estimate_ms),
        after: at.checked_sub(1).map(|before| before as u16).into_iter().collect(),
        ..StepSpec::default()
    });
    JobSpec {
        queue: arrival.queue.clone(),
        team: Some(arrival.account.clone()),
        payload: Arc::from(""),
        steps: steps.collect(),
        schedule: None,
        accepted: SystemTime::UNIX_EPOCH + Duration::from_millis(arrival.at_ms),
        terms: None,
    }
}
