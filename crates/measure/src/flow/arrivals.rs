//! Lists of arrivals, recorded or drawn by a seed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::Error;
use crate::calls::draw::Draw;

use super::simulation::parse;

/// Cores of a worker in millicores.
pub const WORKER_CORES: u32 = 32_000;
/// Objective of a job as a multiple of its longest chain.
pub const STRETCH: f64 = 1.6;
/// Constant that is added to the objective, in milliseconds.
pub const SLACK_MS: u64 = 600;
/// A late job has value up to this multiple of its objective.
pub const LATE_FACTOR: u64 = 3;

/// Time for which a queue sends five times its mean, and a twentieth of it in between.
const TURN_MS: u64 = 4000;
const QUIET_OVER_PEAK: f64 = 0.01;
const QUEUES: u64 = 4;
/// Tasks of a step: at most, and on average.
const MAX_TASKS: f64 = 32.0;
const MEAN_TASKS: f64 = 8.0;
/// Standard deviation of the logarithm of durations and of numbers of tasks.
const SIGMA: f64 = 0.5;
/// Exponent of Zipf's law, by which the accounts' usual rates differ.
const ZIPF_EXPONENT: f64 = 1.2;
/// Part of the tasks that take [`TAIL_FACTOR`] times as long.
const TAIL_FRACTION: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
/// The account that sends [`HOT_FACTOR`] times its usual load: the second largest.
const HOT_ACCOUNT: usize = 1;
const HOT_FACTOR: f64 = 7.0;
/// Work of a burst of large jobs, in seconds of the capacity of a pool.
const BURST_SECONDS: f64 = 2.0;
/// Time in which that burst arrives, in milliseconds.
const BURST_MS: f64 = 1000.0;
/// Jobs from which the mean work of a kind is estimated.
const SAMPLE: u32 = 4000;

/// A kind of jobs: a chain of steps of equal tasks.
struct Kind {
    steps: f64,
    task_ms: f64,
    millicores: u32,
}

const LIGHT: Kind = Kind { steps: 1.6, task_ms: 700.0, millicores: 3000 };
const HEAVY: Kind = Kind { steps: 2.0, task_ms: 1300.0, millicores: 6700 };

/// A job that arrives. Each step starts when the one before it is done.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Arrival {
    /// Time of the arrival in milliseconds from the start.
    pub at_ms: u64,
    /// The queue, which has a pool of its own.
    pub queue: QueueId,
    /// The account that sends it.
    pub account: TeamId,
    /// The steps.
    pub steps: Vec<ArrivalStep>,
    /// Time within which it has to end, in milliseconds from its arrival; by default it
    /// follows from its true longest chain.
    #[serde(default)]
    pub objective_ms: Option<u64>,
}

/// A step of a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ArrivalStep {
    /// Millicores (thousandths of a core) that each task needs.
    pub millicores: u32,
    /// The caller's estimate of the duration of a task, in milliseconds.
    pub estimate_ms: u64,
    /// The true duration of each task, in milliseconds.
    pub task_ms: Vec<u64>,
}

/// What to replay, and on how many workers.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Workers of the pool of each queue.
    pub pool_workers: usize,
    /// Shares of the accounts.
    pub shares: BTreeMap<TeamId, f64>,
    /// The jobs in the order of their arrival.
    pub arrivals: Vec<Arrival>,
}

/// What differs between scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Each queue in turn sends five times its mean.
    Turns,
    /// The same, and one account sends seven times its usual load.
    HotAccount,
    /// The same as the first, and a burst of the largest jobs in the middle.
    LargeBurst,
}

/// Settings of a scenario.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The scenario.
    pub scenario: Scenario,
    /// Workers of all pools together.
    pub workers: usize,
    /// Number of accounts.
    pub teams: usize,
    /// Time in which jobs arrive, in seconds.
    pub seconds: u64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Work that a queue sends per second at its peak, over the capacity of its pool.
    pub load: f64,
    /// Whether objectives follow from the callers' estimates, which policies know, instead
    /// of from the true durations.
    pub estimated_objectives: bool,
}

impl ArrivalStep {
    /// Returns the true work in millicores times seconds.
    pub fn work(&self) -> f64 {
        f64::from(self.millicores) * self.task_ms.iter().sum::<u64>() as f64 / 1000.0
    }

    /// Returns the true duration of the longest task, in milliseconds.
    pub fn longest_ms(&self) -> u64 {
        self.task_ms.iter().copied().max().unwrap_or(0)
    }
}

impl Arrival {
    /// Returns the true work in millicores times seconds.
    pub fn work(&self) -> f64 {
        self.steps.iter().map(ArrivalStep::work).sum()
    }

    /// Returns the true duration of the longest chain of tasks, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        self.steps.iter().map(ArrivalStep::longest_ms).sum()
    }

    /// Whether it has steps, all of them have tasks, and the tasks last and fit on a worker.
    fn can_end(&self) -> bool {
        let fits = |step: &ArrivalStep| (1..=WORKER_CORES).contains(&step.millicores);
        let lasts = |step: &ArrivalStep| step.task_ms.iter().min().is_some_and(|ms| *ms > 0);
        !self.steps.is_empty() && self.steps.iter().all(|step| fits(step) && lasts(step))
    }

    /// Returns the time by which `factor` times its objective has passed, in milliseconds
    /// from the start.
    pub fn deadline_ms(&self, factor: u64) -> u64 {
        let objective = self.objective_ms.unwrap_or_else(|| objective_ms(self.chain_ms()));
        self.at_ms + factor * objective
    }
}

/// Returns the objective, in milliseconds, of a job whose longest chain takes `chain_ms`.
pub fn objective_ms(chain_ms: u64) -> u64 {
    (chain_ms as f64 * STRETCH) as u64 + SLACK_MS
}

impl Workload {
    /// Draws the arrivals of a scenario.
    pub fn draw(settings: &Settings) -> Workload {
        let accounts = 1..=settings.teams.max(1);
        let usual: Vec<f64> = accounts.map(|at| (at as f64).powf(-ZIPF_EXPONENT)).collect();
        let shares = usual.iter().enumerate().map(|(at, &rate)| (account(at), rate)).collect();
        let (rates, draw) = (usual.clone(), Draw::new(settings.seed));
        let mut generator = ArrivalGenerator { settings, usual, rates, draw, arrivals: Vec::new() };
        if settings.scenario == Scenario::HotAccount {
            let hot = HOT_ACCOUNT.min(generator.rates.len() - 1);
            generator.rates[hot] *= HOT_FACTOR;
        }
        (0..QUEUES).for_each(|queue| generator.add_queue(queue));
        if settings.scenario == Scenario::LargeBurst {
            generator.add_burst();
        }
        let mut arrivals = generator.arrivals;
        arrivals.sort_by_key(|each| each.at_ms);
        let pool_workers = pool_workers(settings.workers, QUEUES as usize);
        Workload { pool_workers, shares, arrivals }
    }

    /// Reads recorded arrivals, a JSON list. The accounts have equal shares.
    ///
    /// # Errors
    ///
    /// If the text is not such a list, or a job can never end.
    pub fn recorded(text: &str, workers: usize) -> Result<Workload, Error> {
        let error = |problem: String| Error::Argument { what: format!("the arrivals: {problem}") };
        let mut arrivals: Vec<Arrival> =
            serde_json::from_str(text).map_err(|cause| error(cause.to_string()))?;
        if let Some(at) = arrivals.iter().position(|each| !each.can_end()) {
            let needs = "steps, tasks that last, and at most the cores of a worker";
            return Err(error(format!("job {at} has to have {needs}")));
        }
        arrivals.sort_by_key(|each| each.at_ms);
        let shares = arrivals.iter().map(|each| (each.account.clone(), 1.0)).collect();
        let mut workload = Workload { pool_workers: 0, shares, arrivals };
        workload.pool_workers = pool_workers(workers, workload.queues().len());
        Ok(workload)
    }

    /// Returns the queues and the mean true work of their jobs, in millicores times seconds.
    pub fn queues(&self) -> BTreeMap<QueueId, f64> {
        let mut sums: BTreeMap<QueueId, (f64, f64)> = BTreeMap::new();
        for each in &self.arrivals {
            let sum = sums.entry(each.queue.clone()).or_default();
            *sum = (sum.0 + each.work(), sum.1 + 1.0);
        }
        sums.into_iter().map(|(queue, (work, jobs))| (queue, work / jobs)).collect()
    }

    /// Returns the time at which no job has value any more, in milliseconds from the start.
    pub fn end_ms(&self) -> u64 {
        let deadlines = self.arrivals.iter().map(|each| each.deadline_ms(LATE_FACTOR));
        deadlines.max().unwrap_or(0)
    }
}

fn account(at: usize) -> TeamId {
    parse(&format!("t{at}"))
}

fn kind_of(queue: u64) -> &'static Kind {
    if queue.is_multiple_of(2) { &LIGHT } else { &HEAVY }
}

fn lognormal(mean: f64, draw: &mut Draw) -> f64 {
    mean * (SIGMA * draw.normal() - SIGMA * SIGMA / 2.0).exp()
}

fn draw_steps(kind: &Kind, draw: &mut Draw) -> Vec<ArrivalStep> {
    let steps = kind.steps as usize + usize::from(draw.unit() < kind.steps.fract());
    let step = |_| {
        let tasks = lognormal(MEAN_TASKS, draw).round().clamp(1.0, MAX_TASKS);
        draw_step(kind, tasks as usize, draw)
    };
    (0..steps).map(step).collect()
}

fn draw_step(kind: &Kind, tasks: usize, draw: &mut Draw) -> ArrivalStep {
    let mean = lognormal(kind.task_ms, draw).max(10.0);
    let estimate_ms = (mean * (0.5 + draw.unit())) as u64;
    let factor = |draw: &mut Draw| if draw.unit() < TAIL_FRACTION { TAIL_FACTOR } else { 1.0 };
    let task_ms = (0..tasks).map(|_| (mean * factor(draw)) as u64).collect();
    ArrivalStep { millicores: kind.millicores, estimate_ms, task_ms }
}

/// A scenario while its arrivals are drawn.
struct ArrivalGenerator<'a> {
    settings: &'a Settings,
    /// Rates of the accounts, usual and in this scenario.
    usual: Vec<f64>,
    rates: Vec<f64>,
    draw: Draw,
    arrivals: Vec<Arrival>,
}

impl ArrivalGenerator<'_> {
    /// Adds a job that a random account sends.
    fn add(&mut self, at_ms: u64, queue: u64, steps: Vec<ArrivalStep>) {
        let account = account(self.draw.index(&self.rates));
        let estimate = || steps.iter().map(|step| step.estimate_ms).sum();
        let objective_ms = self.settings.estimated_objectives.then(|| objective_ms(estimate()));
        let queue = parse(&format!("q{queue}"));
        self.arrivals.push(Arrival { at_ms, queue, account, steps, objective_ms });
    }

    /// Adds the jobs of a queue: a Poisson process, most of which is left out between peaks.
    fn add_queue(&mut self, queue: u64) {
        let kind = kind_of(queue);
        let mut sample = Draw::new(0);
        let steps = (0..SAMPLE).flat_map(|_| draw_steps(kind, &mut sample));
        let mean_work = steps.map(|step| step.work()).sum::<f64>() / f64::from(SAMPLE);
        let extra = self.rates.iter().sum::<f64>() / self.usual.iter().sum::<f64>();
        let work_per_ms = self.settings.load * extra * self.capacity() / 1000.0;
        let rate = work_per_ms / mean_work;
        let mut at = self.draw.pause(rate);
        while at < self.settings.seconds as f64 * 1000.0 {
            let is_peak = at as u64 / TURN_MS % QUEUES == queue;
            if is_peak || self.draw.unit() < QUIET_OVER_PEAK {
                let steps = draw_steps(kind, &mut self.draw);
                self.add(at as u64, queue, steps);
            }
            at += self.draw.pause(rate);
        }
    }

    /// Adds the largest jobs to the queue that has its peak in the middle of the time.
    fn add_burst(&mut self) {
        let start = self.settings.seconds * 500;
        let queue = start / TURN_MS % QUEUES;
        let mut left = BURST_SECONDS * self.capacity();
        while left > 0.0 {
            let mut step = |_| draw_step(kind_of(queue), MAX_TASKS as usize, &mut self.draw);
            let steps: Vec<_> = (0..2).map(&mut step).collect();
            left -= steps.iter().map(ArrivalStep::work).sum::<f64>();
            let at = start + (self.draw.unit() * BURST_MS) as u64;
            self.add(at, queue, steps);
        }
    }

    /// Returns the capacity of a pool in millicores.
    fn capacity(&self) -> f64 {
        pool_workers(self.settings.workers, QUEUES as usize) as f64 * f64::from(WORKER_CORES)
    }
}

fn pool_workers(workers: usize, pools: usize) -> usize {
    (workers / pools.max(1)).max(1)
}
