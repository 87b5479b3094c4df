//! How many machines each pool needs.
//!
//! Load it answers: a queue's turn begins within a second, and machines take
//! longer than that to come. What is there to run is counted, and what arrives,
//! before it has piled up.

use std::collections::{HashMap, VecDeque};

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::job::ReadyStep;
use crate::{JobSpec, Scheduler};

/// Times over which arrivals are counted: the short one shows a turn early, the
/// long one carries queues of few large jobs.
const RATE_WINDOWS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(1500)];
/// Fewest arrivals that make a rate: one large job is no rise.
const MIN_ARRIVALS: usize = 4;
/// Time in which what has piled up until machines arrive is to be worked off.
const CATCH_UP_TIME: Duration = Duration::from_millis(1500);
/// Most machines that arrivals call for: so many times what is there to run now,
/// and this many more.
const MAX_RATE_FACTOR: f64 = 2.0;
const MAX_RATE_EXTRA_MACHINES: f64 = 6.0;
/// Part of a machine that can be filled before tasks fit nowhere.
const USABLE_FRACTION: f64 = 1.0;
/// Machines of a pool beyond what it needs.
const HEADROOM_MACHINES: f64 = 1.0;
/// Fewest machines of a pool: a rise finds some room before more arrive.
pub(crate) const MIN_POOL_MACHINES: usize = 4;
/// Time in which a pool's past need loses most of its weight: large jobs come
/// with pauses between them.
const NEED_DECAY_TIME: Duration = Duration::from_millis(2000);
/// Tasks that wait longer than this count for one full machine-second each.
const MAX_TASK_TIME: Duration = Duration::from_secs(1);

/// What came to each pool, and what it needed lately.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Work that came, in machine-seconds.
    arrivals: HashMap<PoolId, VecDeque<(Instant, f64)>>,
    /// Recent need, which fades, and when it was taken.
    recent: HashMap<PoolId, (f64, Instant)>,
}

impl Demand {
    /// Notes work in machine-seconds that has come to a pool.
    fn add_arrival(&mut self, pool: &PoolId, work: f64, now: Instant) {
        self.arrivals.entry(pool.clone()).or_default().push_back((now, work));
    }

    /// Forgets arrivals that no rate counts any more.
    pub(crate) fn prune(&mut self, now: Instant) {
        let longest = RATE_WINDOWS.into_iter().max().unwrap_or_default();
        let old = |at: &Instant| now.saturating_duration_since(*at) > longest;
        for arrivals in self.arrivals.values_mut() {
            while arrivals.front().is_some_and(|(at, _)| old(at)) {
                arrivals.pop_front();
            }
        }
    }

    /// Returns the machines that the last arrivals would keep busy.
    fn rate(&self, pool: &PoolId, now: Instant) -> f64 {
        let Some(arrivals) = self.arrivals.get(pool) else { return 0.0 };
        let rates = RATE_WINDOWS.into_iter().map(|window| rate_within(arrivals, window, now));
        rates.fold(0.0, f64::max) / USABLE_FRACTION
    }

    /// Returns the need of a pool now, or what is left of its past need.
    fn decayed_need(&mut self, pool: &PoolId, need: f64, now: Instant) -> f64 {
        let (before, at) = self.recent.get(pool).copied().unwrap_or((need, now));
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let left = before * (-passed / NEED_DECAY_TIME.as_secs_f64()).exp();
        let recent = need.max(left);
        self.recent.insert(pool.clone(), (recent, now));
        recent
    }
}

/// Sizes of one pool, in machines.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PoolSize {
    /// What its tasks need now.
    need: f64,
    /// What they needed lately.
    recent: f64,
    /// Fewest machines over which its lasting tasks have to be spread.
    spread: usize,
    /// What it has, or will soon have.
    present: usize,
}

impl PoolSize {
    pub(crate) fn shortfall(&self) -> usize {
        self.machines_for(self.need).saturating_sub(self.present)
    }

    /// Machines that another pool can have at once.
    pub(crate) fn surplus(&self) -> usize {
        self.present.saturating_sub(self.machines_for(self.need))
    }

    /// Machines that can wait in the spare pool.
    pub(crate) fn idle_surplus(&self) -> usize {
        self.present.saturating_sub(self.machines_for(self.recent))
    }

    /// What lasting tasks leave free on the machines that they are spread over is
    /// headroom too.
    fn machines_for(&self, need: f64) -> usize {
        ((need + HEADROOM_MACHINES).ceil() as usize).max(self.spread).max(MIN_POOL_MACHINES)
    }
}

impl Scheduler {
    /// Notes the work of a job that has come.
    pub(crate) fn record_arrival(&mut self, pool: &PoolId, spec: &JobSpec, now: Instant) {
        if spec.is_continuous() || spec.schedule.is_some() {
            return;
        }
        let whole = self.typical_capacity(pool);
        let work = spec.steps.iter().map(|step| {
            f64::from(step.count)
                * step.reservation().dominant_share(&whole)
                * step.estimate.as_secs_f64()
        });
        let work = work.sum();
        self.machines.resize.demand.add_arrival(pool, work, now);
    }

    /// Returns what a usual machine of a pool has.
    fn typical_capacity(&self, pool: &PoolId) -> Resources {
        let of = self.workers.values().find(|worker| worker.incarnation.pool == *pool);
        let listed = self.machines.list.values().find(|machine| machine.pool == *pool);
        of.map(|worker| worker.capacity)
            .or(listed.map(|machine| machine.capacity))
            .unwrap_or_default()
    }

    pub(crate) fn sizes(&mut self, spare: &PoolId, now: Instant) -> HashMap<PoolId, PoolSize> {
        let mut sizes: HashMap<PoolId, PoolSize> = HashMap::new();
        for id in self.config.pools.keys().filter(|id| *id != spare) {
            sizes.insert(
                id.clone(),
                PoolSize { need: self.machines.resize.demand.rate(id, now), ..PoolSize::default() },
            );
        }
        for worker in self.workers.values() {
            let works = worker.registered
                && !worker.draining
                && !worker.leaving
                && worker.unreachable_since.is_none();
            if let Some(size) = sizes.get_mut(&worker.incarnation.pool)
                && works
                && !worker.cordoned
            {
                size.present += 1;
            }
        }
        for (pool, _) in self.machines.resize.in_transit.values() {
            if let Some(size) = sizes.get_mut(pool) {
                size.present += 1;
            }
        }
        let (need, spread) = self.current_need();
        for (pool, need) in need {
            if let Some(size) = sizes.get_mut(&pool) {
                let here = size.present as f64;
                let late = (size.need - here).max(0.0) * self.rules.move_time.as_secs_f64();
                let wanted = size.need + late / CATCH_UP_TIME.as_secs_f64();
                size.need = need.max(wanted.min(need * MAX_RATE_FACTOR + MAX_RATE_EXTRA_MACHINES));
            }
        }
        for (pool, least) in spread {
            if let Some(size) = sizes.get_mut(&pool) {
                size.spread = least;
            }
        }
        for (pool, size) in &mut sizes {
            size.recent = self.machines.resize.demand.decayed_need(pool, size.need, now);
        }
        sizes
    }

    /// Returns the machines that tasks need which run or could run now, and the
    /// fewest over which each pool's tasks have to be spread.
    fn current_need(&self) -> (HashMap<PoolId, f64>, HashMap<PoolId, usize>) {
        let mut need: HashMap<PoolId, f64> = HashMap::new();
        let mut spread: HashMap<PoolId, usize> = HashMap::new();
        for job in self.jobs.values().filter(|job| job.is_open()) {
            let whole = self.typical_capacity(&job.pool);
            for ReadyStep { spec, step, .. } in job.ready_steps() {
                let share = spec.reservation().dominant_share(&whole);
                let waiting = step.waiting.len() as f64;
                let running = (step.tasks.len() as f64) - f64::from(step.done) - waiting;
                let span =
                    if spec.continuous { MAX_TASK_TIME } else { spec.estimate.min(MAX_TASK_TIME) };
                let waiting = waiting * span.as_secs_f64();
                *need.entry(job.pool.clone()).or_default() +=
                    (running + waiting) * share / USABLE_FRACTION;
                if let Some(most) = spec.per_worker {
                    let least = spread.entry(job.pool.clone()).or_default();
                    *least = (*least).max(spec.count.div_ceil(most) as usize);
                }
            }
        }
        (need, spread)
    }
}

/// Returns the work that came a second within a window that ends now.
fn rate_within(arrivals: &VecDeque<(Instant, f64)>, window: Duration, now: Instant) -> f64 {
    let recent = |at: Instant| now.saturating_duration_since(at) <= window;
    let works: Vec<_> =
        arrivals.iter().filter(|(at, _)| recent(*at)).map(|(_, work)| work).collect();
    match works.len() >= MIN_ARRIVALS {
        true => works.into_iter().sum::<f64>() / window.as_secs_f64(),
        false => 0.0,
    }
}
