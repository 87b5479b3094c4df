//! Number of machines that each pool needs.
//!
//! Load that this module handles: the load of a queue rises within a second,
//! and machines take longer than that to arrive. Tasks that could run now are
//! counted, and so are arrivals, before a backlog has built up.

use std::collections::{HashMap, VecDeque};

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::occurrence::ReadyStep;
use crate::workers::worker::WorkerKey;
use crate::{JobSpec, Scheduler};

/// Windows over which the arrival rate is measured: the short one shows a rise
/// early, the long one covers queues of few large jobs.
const RATE_WINDOWS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(1500)];
/// Minimum number of arrivals for a rate: one large job is not a rise.
const MIN_ARRIVALS: usize = 4;
/// Time in which the backlog that builds up until machines arrive is to be
/// worked off.
const CATCH_UP_TIME: Duration = Duration::from_millis(1500);
/// Upper bound of the machines that arrivals can request: the current need
/// times this factor, plus `MAX_RATE_EXTRA_MACHINES`.
const MAX_RATE_FACTOR: f64 = 2.0;
/// Number of machines that arrivals can request beyond `MAX_RATE_FACTOR`.
const MAX_RATE_EXTRA_MACHINES: f64 = 6.0;
/// Fraction of a machine that can be filled before tasks fit nowhere.
const USABLE_FRACTION: f64 = 1.0;
/// Machines of a pool beyond what it needs.
const HEADROOM_MACHINES: f64 = 1.0;
/// Minimum number of machines of a pool, so that a rise finds some capacity
/// before more machines arrive.
pub(crate) const MIN_POOL_MACHINES: usize = 4;
/// Time constant with which a pool's past need decays: large jobs arrive with
/// pauses between them.
const NEED_DECAY_TIME: Duration = Duration::from_millis(2000);
/// Waiting tasks count by their estimated time up to this bound: longer ones
/// count like running tasks, as if each took one full second.
const MAX_TASK_TIME: Duration = Duration::from_secs(1);

/// Arrivals in each pool, and its recent need.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Time and work of arrivals, in machine-seconds.
    arrivals: HashMap<PoolId, VecDeque<(Instant, f64)>>,
    /// Recent need, which decays, and when it was computed.
    recent: HashMap<PoolId, (f64, Instant)>,
}

impl Demand {
    /// Adds work in machine-seconds that has arrived in a pool.
    fn add_arrival(&mut self, pool: &PoolId, work: f64, now: Instant) {
        self.arrivals.entry(pool.clone()).or_default().push_back((now, work));
    }

    /// Drops arrivals that are older than all windows.
    pub(crate) fn prune(&mut self, now: Instant) {
        let longest = RATE_WINDOWS.into_iter().max().unwrap_or_default();
        let old = |at: &Instant| now.saturating_duration_since(*at) > longest;
        for arrivals in self.arrivals.values_mut() {
            while arrivals.front().is_some_and(|(at, _)| old(at)) {
                arrivals.pop_front();
            }
        }
    }

    /// Returns the number of machines that the recent arrivals would keep busy.
    fn rate(&self, pool: &PoolId, now: Instant) -> f64 {
        let Some(arrivals) = self.arrivals.get(pool) else { return 0.0 };
        let rates = RATE_WINDOWS.into_iter().map(|window| rate_within(arrivals, window, now));
        rates.fold(0.0, f64::max) / USABLE_FRACTION
    }

    /// Returns the current need of a pool, or its decayed past need if that is
    /// higher.
    fn decayed_need(&mut self, pool: &PoolId, need: f64, now: Instant) -> f64 {
        let (before, at) = self.recent.get(pool).copied().unwrap_or((need, now));
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let left = before * (-passed / NEED_DECAY_TIME.as_secs_f64()).exp();
        let recent = need.max(left);
        self.recent.insert(pool.clone(), (recent, now));
        recent
    }
}

/// Sizes of one pool in machines.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PoolSize {
    /// What its tasks need now.
    need: f64,
    /// What its tasks have needed recently.
    recent: f64,
    /// Minimum number of machines over which its continuous tasks have to be
    /// spread.
    spread: usize,
    /// What it has, or will have soon.
    present: usize,
    /// How many of these are on their way.
    arriving: usize,
    /// What workers have less than they had at most, in machines.
    missing: f64,
    /// Whether a continuous task found no place in it.
    unplaced: bool,
    /// Machines on which tasks are tried, and could be (`trials.rs`).
    trials: usize,
}

impl PoolSize {
    /// Returns the machines that the pool lacks.
    pub(crate) fn shortfall(&self) -> usize {
        let lacking = self.machines_for(self.need).saturating_sub(self.present);
        // Another machine, although the free capacity of all together is enough.
        lacking.max(usize::from(self.unplaced).saturating_sub(self.arriving))
    }

    /// Returns the machines that another pool can have at once.
    pub(crate) fn surplus(&self) -> usize {
        self.present.saturating_sub(self.machines_for(self.need))
    }

    /// Returns the machines that can be moved to the spare pool.
    pub(crate) fn idle_surplus(&self) -> usize {
        self.present.saturating_sub(self.machines_for(self.recent))
    }

    /// Whether the pool has the machines that it has needed recently.
    pub(crate) fn is_sufficient(&self) -> bool {
        self.present >= self.machines_for(self.recent)
    }

    /// Capacity that continuous tasks leave free on the machines over which
    /// they are spread counts as headroom too. Tasks that wait for a trial keep the machines
    /// that the pool has.
    fn machines_for(&self, need: f64) -> usize {
        ((need + self.missing + HEADROOM_MACHINES).ceil() as usize)
            .max(self.spread)
            .max(self.trials.min(self.present))
            .max(MIN_POOL_MACHINES)
    }
}

impl Scheduler {
    /// Records the work of a job that has arrived. Continuous and repeated jobs
    /// do not count as arrivals.
    pub(crate) fn record_arrival(&mut self, pool: &PoolId, spec: &JobSpec, now: Instant) {
        if spec.is_continuous() || spec.schedule.is_some() {
            return;
        }
        let capacity = self.typical_capacity(pool);
        let learned = self.durations.of(&spec.queue);
        let factor = |at| learned.map_or(1.0, |queue| queue.factor(at, &spec.team));
        let work = spec.steps.iter().enumerate().map(|(at, step)| {
            f64::from(step.count)
                * step.reservation().dominant_share(&capacity)
                * step.estimate.as_secs_f64()
                * factor(at)
        });
        let work = work.sum();
        self.machines.resize.demand.add_arrival(pool, work, now);
    }

    /// Measures the capacity of a typical machine of each pool: the median of what its
    /// workers have at most, as they may have less for a while.
    pub(crate) fn measure_capacities(&mut self, pools: &HashMap<PoolId, Vec<WorkerKey>>) {
        let median = |workers: &Vec<WorkerKey>| {
            let registered = workers.iter().filter(|&&key| self.workers[key].registered);
            let mut all: Vec<_> = registered.map(|&key| self.workers[key].full_capacity).collect();
            let middle = all.len() / 2;
            let (_, median, _) = (!all.is_empty())
                .then(|| all.select_nth_unstable_by_key(middle, |each| each.cores))?;
            Some(*median)
        };
        let measured =
            pools.iter().filter_map(|(id, workers)| Some((id.clone(), median(workers)?)));
        self.machines.resize.capacities = measured.collect();
    }

    /// Returns the capacity of a typical machine of a pool.
    pub(crate) fn typical_capacity(&self, pool: &PoolId) -> Resources {
        if let Some(capacity) = self.machines.resize.capacities.get(pool) {
            return *capacity;
        }
        let worker = self.workers.values().find(|worker| worker.incarnation.pool == *pool);
        let listed = self.machines.list.values().find(|machine| machine.pool == *pool);
        worker
            .map(|worker| worker.full_capacity)
            .or(listed.map(|machine| machine.capacity))
            .unwrap_or_default()
    }

    /// Returns the sizes of all pools except the spare pool.
    pub(crate) fn sizes(&mut self, spare: &PoolId, now: Instant) -> HashMap<PoolId, PoolSize> {
        let mut sizes: HashMap<PoolId, PoolSize> = HashMap::new();
        for id in self.config.pools.keys().filter(|id| *id != spare) {
            sizes.insert(
                id.clone(),
                PoolSize { need: self.machines.resize.demand.rate(id, now), ..PoolSize::default() },
            );
        }
        for worker in self.workers.values() {
            let is_available = worker.registered
                && !worker.zone_drained
                && !worker.draining
                && !worker.leaving
                && worker.unreachable_since.is_none();
            if let Some(size) = sizes.get_mut(&worker.incarnation.pool)
                && is_available
                && !worker.cordoned
            {
                size.present += 1;
                size.missing += 1.0 - worker.present_share();
            }
        }
        for (machine, (pool, _)) in &self.machines.resize.in_transit {
            if let Some(size) = sizes.get_mut(pool)
                && !self.is_in_drained_zone(machine)
            {
                size.present += 1;
                size.arriving += 1;
            }
        }
        for pool in self.take_unplaced_pools(now) {
            if let Some(size) = sizes.get_mut(&pool) {
                size.unplaced = true;
            }
        }
        for (pool, trials) in self.trial_demand(now) {
            if let Some(size) = sizes.get_mut(&pool) {
                size.trials = trials;
            }
        }
        let (need, spread) = self.current_need();
        for (pool, need) in need {
            if let Some(size) = sizes.get_mut(&pool) {
                // Up to here, `size.need` is the number of machines that
                // arrivals keep busy. What exceeds the present machines becomes
                // a backlog while machines are moved.
                let machines = size.present as f64;
                let backlog = (size.need - machines).max(0.0) * self.rules.move_time.as_secs_f64();
                let wanted = size.need + backlog / CATCH_UP_TIME.as_secs_f64();
                size.need = need.max(wanted.min(need * MAX_RATE_FACTOR + MAX_RATE_EXTRA_MACHINES));
            }
        }
        for (pool, min_machines) in spread {
            if let Some(size) = sizes.get_mut(&pool) {
                size.spread = min_machines;
            }
        }
        for (pool, size) in &mut sizes {
            size.recent = self.machines.resize.demand.decayed_need(pool, size.need, now);
        }
        sizes
    }

    /// Returns the pools in which a continuous task has found no place since the last
    /// call, and which have no machine that is free of continuous tasks and awaits no
    /// maintenance: where there is one, another would not help.
    fn take_unplaced_pools(&mut self, now: Instant) -> Vec<PoolId> {
        let unplaced = std::mem::take(&mut self.unplaced_pools);
        let has_place = |pool: &PoolId| {
            self.usable_workers(pool, now).into_iter().any(|key| {
                let worker = &self.workers[key];
                !self.has_continuous(worker) && !self.awaits_maintenance(worker.machine.as_ref())
            })
        };
        unplaced.into_iter().filter(|pool| !has_place(pool)).collect()
    }

    /// Returns the machines needed by tasks that run or could run now, and the
    /// minimum number of machines over which each pool's tasks have to be
    /// spread.
    fn current_need(&self) -> (HashMap<PoolId, f64>, HashMap<PoolId, usize>) {
        let mut need: HashMap<PoolId, f64> = HashMap::new();
        let mut spread: HashMap<PoolId, usize> = HashMap::new();
        for job in self.jobs.values().filter(|job| job.is_open()) {
            let capacity = self.typical_capacity(job.pool());
            for ReadyStep { id, spec, step } in job.ready_steps() {
                let share = spec.reservation().dominant_share(&capacity);
                let waiting = step.waiting.len() as f64;
                let running = (step.tasks.len() as f64) - f64::from(step.done) - waiting;
                let task_time = match spec.continuous {
                    true => MAX_TASK_TIME,
                    false => self.expected_time(job, usize::from(id.step)).min(MAX_TASK_TIME),
                };
                let waiting = waiting * task_time.as_secs_f64();
                *need.entry(job.pool().clone()).or_default() +=
                    (running + waiting) * share / USABLE_FRACTION;
                if let Some(max_tasks) = spec.per_worker {
                    let min_machines = spread.entry(job.pool().clone()).or_default();
                    *min_machines = (*min_machines).max(spec.count.div_ceil(max_tasks) as usize);
                }
            }
        }
        (need, spread)
    }
}

/// Returns the work per second that arrived within a window that ends now; 0 if
/// fewer than [`MIN_ARRIVALS`] jobs arrived.
fn rate_within(arrivals: &VecDeque<(Instant, f64)>, window: Duration, now: Instant) -> f64 {
    let is_recent = |at: Instant| now.saturating_duration_since(at) <= window;
    let recent_work: Vec<_> =
        arrivals.iter().filter(|(at, _)| is_recent(*at)).map(|(_, work)| work).collect();
    match recent_work.len() >= MIN_ARRIVALS {
        true => recent_work.into_iter().sum::<f64>() / window.as_secs_f64(),
        false => 0.0,
    }
}
