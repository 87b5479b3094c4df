//! Which pool each machine serves.
//!
//! Load it answers: each queue in turn asks for several times what its pool
//! holds, while the pools of the others are nearly idle. Machines that a pool
//! does not need wait in the spare pool, where they cost nothing. When a pool's
//! demand rises, they are moved there before its queue is long.

use std::collections::{HashMap, HashSet, VecDeque};

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::job::ReadyStep;
use crate::worker::WorkerKey;
use crate::{Flow, JobSpec, MachineOrder, MachineState};

/// Times over which arrivals are counted: the short one shows a turn early, the
/// long one carries queues of few large jobs.
const WINDOWS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(1500)];
/// Fewest arrivals that make a rate: one large job is no rise.
const ARRIVALS_MIN: usize = 4;
/// Time in which what has piled up until machines arrive is to be worked off.
const CATCH_UP: Duration = Duration::from_millis(1500);
/// Most machines that arrivals call for: so many times what is there to run now,
/// and this many more.
const TRUST: f64 = 2.0;
const TRUST_MACHINES: f64 = 6.0;
/// Part of a machine that can be filled before tasks fit nowhere.
const FILL: f64 = 1.0;
/// Machines of a pool beyond what it needs.
const HEADROOM: f64 = 1.0;
/// Fewest machines of a pool: a rise finds some room before more arrive.
pub(crate) const MACHINES_MIN: usize = 4;
/// Time that a machine is idle before it leaves its pool for the spare one.
const IDLE: Duration = Duration::from_millis(600);
/// Time in which a pool's past need loses most of its weight: large jobs come
/// with pauses between them.
const NEED_FADE: Duration = Duration::from_millis(2000);
/// Time in which a moved machine's worker has to show up.
const ARRIVAL: Duration = Duration::from_secs(4);
/// Added to the time of a move before a machine counts as arrived.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(100);
/// Tasks that wait longer than this count for one full machine-second each.
const TASK_SPAN: Duration = Duration::from_secs(1);

/// What is known of the pools' demand, and of machines on their way.
#[derive(Debug, Default)]
pub(crate) struct Resize {
    /// Work that came, in machine-seconds, by pool.
    arrivals: HashMap<PoolId, VecDeque<(Instant, f64)>>,
    /// Machines on their way to a pool, and when they have to be there.
    coming: HashMap<SmolStr, (PoolId, Instant)>,
    /// Moves that were refused for good.
    refused: HashSet<(SmolStr, PoolId)>,
    /// Recent need of each pool, which fades, and when it was taken.
    held: HashMap<PoolId, (f64, Instant)>,
    /// Since when a worker has had nothing to do.
    idle: HashMap<WorkerKey, Instant>,
}

impl Resize {
    /// Returns the need of a pool now, or what is left of its past need.
    fn hold(&mut self, pool: &PoolId, need: f64, now: Instant) -> f64 {
        let (before, at) = self.held.get(pool).copied().unwrap_or((need, now));
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let left = before * (-passed / NEED_FADE.as_secs_f64()).exp();
        let held = need.max(left);
        self.held.insert(pool.clone(), (held, now));
        held
    }
}

/// Sizes of one pool, in machines.
#[derive(Debug, Clone, Copy, Default)]
struct Size {
    /// What its tasks need now.
    need: f64,
    /// What they needed lately.
    held: f64,
    /// Fewest machines over which its lasting tasks have to be spread.
    spread: usize,
    /// What it has, or will soon have.
    has: usize,
}

impl Size {
    fn lacks(&self) -> usize {
        self.machines_for(self.need).saturating_sub(self.has)
    }

    /// Machines that another pool can have at once.
    fn spares(&self) -> usize {
        self.has.saturating_sub(self.machines_for(self.need))
    }

    /// Machines that can wait in the spare pool.
    fn idles(&self) -> usize {
        self.has.saturating_sub(self.machines_for(self.held))
    }

    /// What lasting tasks leave free on the machines that they are spread over is
    /// headroom too.
    fn machines_for(&self, need: f64) -> usize {
        ((need + HEADROOM).ceil() as usize).max(self.spread).max(MACHINES_MIN)
    }
}

impl Flow {
    pub(crate) fn wants_resize(&self) -> bool {
        self.content.pools.values().any(|pool| pool.spare)
    }

    /// Notes the work of a job that has come.
    pub(crate) fn note_arrival(&mut self, pool: &PoolId, spec: &JobSpec, now: Instant) {
        if spec.is_lasting() || spec.schedule.is_some() {
            return;
        }
        let whole = self.machine_size(pool);
        let work = spec.steps.iter().map(|step| {
            f64::from(step.count) * step.room().dominant(&whole) * step.estimate.as_secs_f64()
        });
        let work = work.sum();
        let arrivals = self.machines.resize.arrivals.entry(pool.clone()).or_default();
        arrivals.push_back((now, work));
    }

    /// Returns what a usual machine of a pool has.
    fn machine_size(&self, pool: &PoolId) -> Resources {
        let of = self.workers.values().find(|worker| worker.life.pool == *pool);
        let listed = self.machines.list.values().find(|machine| machine.pool == *pool);
        of.map(|worker| worker.capacity)
            .or(listed.map(|machine| machine.capacity))
            .unwrap_or_default()
    }

    /// Moves machines to where they are needed.
    pub(crate) fn resize(&mut self, now: Instant) {
        let spare = self.content.pools.iter().find(|(_, pool)| pool.spare);
        let Some(spare) = spare.map(|(id, _)| id.clone()) else { return };
        self.forget_old(now);
        self.arrive_in_spare(&spare, now);
        if now < self.machines.hold_until || self.machines.list.is_empty() {
            return;
        }
        let sizes = self.sizes(&spare, now);
        let mut free = self.spare_machines(&spare, now);
        let mut lacking: Vec<_> = sizes.iter().filter(|(_, size)| size.lacks() > 0).collect();
        lacking.sort_by(|a, b| b.1.lacks().cmp(&a.1.lacks()).then_with(|| a.0.cmp(b.0)));
        let mut donors = self.idle_workers(&sizes, Size::spares, now);
        for (pool, size) in lacking {
            for _ in 0..size.lacks() {
                let taken = take_allowed(&mut free, pool, &self.machines.resize.refused)
                    .or_else(|| take_allowed(&mut donors, pool, &self.machines.resize.refused));
                let Some((machine, _)) = taken else { break };
                self.move_machine(machine, pool.clone(), now);
            }
        }
        for (machine, since) in self.idle_workers(&sizes, Size::idles, now) {
            let long = since.is_some_and(|since| now.saturating_duration_since(since) >= IDLE);
            if long && !self.machines.resize.refused.contains(&(machine.clone(), spare.clone())) {
                self.move_machine(machine, spare.clone(), now);
            }
        }
    }

    fn forget_old(&mut self, now: Instant) {
        let resize = &mut self.machines.resize;
        for arrivals in resize.arrivals.values_mut() {
            let longest = WINDOWS.into_iter().max().unwrap_or_default();
            let old = |at: &Instant| now.saturating_duration_since(*at) > longest;
            while arrivals.front().is_some_and(|(at, _)| old(at)) {
                arrivals.pop_front();
            }
        }
        let here: HashSet<_> = self
            .workers
            .values()
            .filter(|worker| worker.listed && !worker.leaving)
            .filter_map(|worker| Some((worker.machine.clone()?, worker.life.pool.clone())))
            .collect();
        resize.coming.retain(|machine, (pool, until)| {
            now < *until && !here.contains(&(machine.clone(), pool.clone()))
        });
        let workers = &self.workers;
        resize.idle.retain(|key, _| workers.get(*key).is_some_and(|worker| worker.runs.is_empty()));
        for (key, worker) in workers {
            if worker.runs.is_empty() {
                resize.idle.entry(key).or_insert(now);
            }
        }
    }

    /// Machines that have reached the spare pool can move again: no worker shows
    /// their arrival, and the list is read only now and then.
    fn arrive_in_spare(&mut self, spare: &PoolId, now: Instant) {
        let moved = ARRIVAL.saturating_sub(self.rules.move_time + ARRIVAL_MARGIN);
        let list = &mut self.machines.list;
        self.machines.resize.coming.retain(|machine, (pool, until)| {
            let arrived = *pool == *spare && now + moved >= *until;
            if arrived && let Some(listed) = list.get_mut(machine) {
                listed.state = MachineState::Up;
            }
            !arrived
        });
    }

    fn sizes(&mut self, spare: &PoolId, now: Instant) -> HashMap<PoolId, Size> {
        let mut sizes: HashMap<PoolId, Size> = HashMap::new();
        for id in self.content.pools.keys().filter(|id| *id != spare) {
            sizes.insert(id.clone(), Size { need: self.rate(id, now), ..Size::default() });
        }
        for worker in self.workers.values() {
            let works =
                worker.listed && !worker.draining && !worker.leaving && worker.silent.is_none();
            if let Some(size) = sizes.get_mut(&worker.life.pool)
                && works
                && !worker.cordoned
            {
                size.has += 1;
            }
        }
        for (pool, _) in self.machines.resize.coming.values() {
            if let Some(size) = sizes.get_mut(pool) {
                size.has += 1;
            }
        }
        let (need, spread) = self.present_need();
        for (pool, need) in need {
            if let Some(size) = sizes.get_mut(&pool) {
                let here = size.has as f64;
                let late = (size.need - here).max(0.0) * self.rules.move_time.as_secs_f64();
                let wanted = size.need + late / CATCH_UP.as_secs_f64();
                size.need = need.max(wanted.min(need * TRUST + TRUST_MACHINES));
            }
        }
        for (pool, least) in spread {
            if let Some(size) = sizes.get_mut(&pool) {
                size.spread = least;
            }
        }
        for (pool, size) in &mut sizes {
            size.held = self.machines.resize.hold(pool, size.need, now);
        }
        sizes
    }

    /// Returns the machines that the last arrivals would keep busy.
    fn rate(&self, pool: &PoolId, now: Instant) -> f64 {
        let Some(arrivals) = self.machines.resize.arrivals.get(pool) else { return 0.0 };
        let rates = WINDOWS.into_iter().map(|window| rate_within(arrivals, window, now));
        rates.fold(0.0, f64::max) / FILL
    }

    /// Returns the machines that tasks need which run or could run now, and the
    /// fewest over which each pool's tasks have to be spread.
    fn present_need(&self) -> (HashMap<PoolId, f64>, HashMap<PoolId, usize>) {
        let mut need: HashMap<PoolId, f64> = HashMap::new();
        let mut spread: HashMap<PoolId, usize> = HashMap::new();
        for job in self.jobs.values().filter(|job| job.is_open()) {
            let whole = self.machine_size(&job.pool);
            for ReadyStep { spec, step, .. } in job.ready_steps() {
                let share = spec.room().dominant(&whole);
                let waiting = step.waiting.len() as f64;
                let running = (step.tasks.len() as f64) - f64::from(step.done) - waiting;
                let span = if spec.lasting { TASK_SPAN } else { spec.estimate.min(TASK_SPAN) };
                let waiting = waiting * span.as_secs_f64();
                *need.entry(job.pool.clone()).or_default() += (running + waiting) * share / FILL;
                if let Some(most) = spec.per_worker {
                    let least = spread.entry(job.pool.clone()).or_default();
                    *least = (*least).max(spec.count.div_ceil(most) as usize);
                }
            }
        }
        (need, spread)
    }

    fn spare_machines(&self, spare: &PoolId, now: Instant) -> Vec<(SmolStr, Option<Instant>)> {
        let list = self.machines.list.values();
        let up = list.filter(|each| each.pool == *spare && each.state == MachineState::Up);
        let free = up.filter(|each| self.is_movable(&each.id, now));
        let mut free: Vec<_> = free.map(|each| (each.id.clone(), None)).collect();
        free.sort();
        free
    }

    /// Returns machines without work in pools that have more than they need.
    fn idle_workers(
        &self,
        sizes: &HashMap<PoolId, Size>,
        most: impl Fn(&Size) -> usize,
        now: Instant,
    ) -> Vec<(SmolStr, Option<Instant>)> {
        let mut left: HashMap<&PoolId, usize> =
            sizes.iter().map(|(pool, size)| (pool, most(size))).collect();
        let mut idle = Vec::new();
        for (key, worker) in &self.workers {
            let Some(machine) = &worker.machine else { continue };
            let Some(left) = left.get_mut(&worker.life.pool) else { continue };
            let since = self.machines.resize.idle.get(&key);
            if *left > 0
                && worker.runs.is_empty()
                && worker.is_usable(now)
                && self.is_movable(machine, now)
                && let Some(&since) = since
            {
                *left -= 1;
                idle.push((machine.clone(), Some(since)));
            }
        }
        idle
    }

    fn is_movable(&self, machine: &SmolStr, now: Instant) -> bool {
        self.machines.may_order(machine, now)
            && !self.machines.resize.coming.contains_key(machine)
            && !self
                .machines
                .waves
                .values()
                .any(|run| run.draining.contains_key(machine) || run.down.contains_key(machine))
    }

    fn move_machine(&mut self, machine: SmolStr, pool: PoolId, now: Instant) {
        if let Some(key) = self.worker_on(&machine) {
            self.workers[key].cordoned = true;
        }
        self.machines.resize.coming.insert(machine.clone(), (pool.clone(), now + ARRIVAL));
        self.order(MachineOrder::Move { machine, pool }, now);
    }

    /// Notes that a move was carried out.
    pub(crate) fn moved(&mut self, machine: &SmolStr, pool: &PoolId, now: Instant) {
        if let Some(listed) = self.machines.list.get_mut(machine) {
            listed.pool = pool.clone();
            listed.state = MachineState::Moving;
        }
        self.machines.resize.coming.insert(machine.clone(), (pool.clone(), now + ARRIVAL));
    }

    /// Notes that a move was not carried out.
    pub(crate) fn not_moved(&mut self, machine: &SmolStr, pool: &PoolId, for_good: bool) {
        self.machines.resize.coming.remove(machine);
        if for_good {
            self.machines.resize.refused.insert((machine.clone(), pool.clone()));
        }
    }
}

/// Returns the work that came a second within a window that ends now.
fn rate_within(arrivals: &VecDeque<(Instant, f64)>, window: Duration, now: Instant) -> f64 {
    let recent = |at: Instant| now.saturating_duration_since(at) <= window;
    let works: Vec<_> =
        arrivals.iter().filter(|(at, _)| recent(*at)).map(|(_, work)| work).collect();
    match works.len() >= ARRIVALS_MIN {
        true => works.into_iter().sum::<f64>() / window.as_secs_f64(),
        false => 0.0,
    }
}

/// Takes a machine that may be moved to a pool.
fn take_allowed(
    from: &mut Vec<(SmolStr, Option<Instant>)>,
    pool: &PoolId,
    refused: &HashSet<(SmolStr, PoolId)>,
) -> Option<(SmolStr, Option<Instant>)> {
    let at = from.iter().position(|(id, _)| !refused.contains(&(id.clone(), pool.clone())))?;
    Some(from.remove(at))
}
