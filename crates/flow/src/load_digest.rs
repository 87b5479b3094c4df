//! Computes the digest of the load of contended pools.
//!
//! Load that this module handles: thousands of tasks wait at a peak. The leader computes
//! the digest between two rounds, and only if some pool is contended.

use std::collections::{BTreeMap, HashMap};

use vg_base::prelude::*;

use crate::job::Job;
use crate::load::{Backlog, LoadDigest, MilliMachines, PoolLoad, QueueSizes, TeamLoad, class_of};
use crate::plan::rank_input;
use crate::{MachineState, PoolContention, Scheduler, Timeliness, rank};

/// Since when contended pools have had no machine.
#[derive(Debug, Default)]
pub(crate) struct EmptyPools(HashMap<PoolId, Instant>);

impl EmptyPools {
    /// Notes whether a pool has a machine; returns for how long it has had none.
    fn update(&mut self, pool: &PoolId, is_empty: bool, now: Instant) -> Option<Duration> {
        if !is_empty {
            self.0.remove(pool);
            return None;
        }
        let since = *self.0.entry(pool.clone()).or_insert(now);
        Some(now.saturating_duration_since(since))
    }

    /// Forgets the pools that are not contended.
    fn keep(&mut self, contended: &[PoolContention]) {
        self.0.retain(|pool, _| contended.iter().any(|each| each.pool == *pool));
    }
}

/// Waiting work of the accounts of a pool, by priority.
type Backlogs = HashMap<Option<TeamId>, BTreeMap<u32, Backlog>>;

impl Scheduler {
    /// Returns the load of the contended pools; `None` if no pool is contended.
    pub fn load_digest(&mut self, now: Instant, wall: SystemTime) -> Option<LoadDigest> {
        let contended = self.contention_estimate(now);
        self.empty_pools.keep(&contended);
        if contended.is_empty() {
            return None;
        }
        let pools = contended.iter().map(|each| self.pool_load(each, now, wall)).collect();
        Some(LoadDigest { token: self.token, pools })
    }

    /// Stand-in until `contended_pools` is implemented.
    fn contention_estimate(&self, now: Instant) -> Vec<PoolContention> {
        let found = self.contended_pools();
        if !found.is_empty() {
            return found;
        }
        let pools = self.config.pools.keys().filter_map(|pool| {
            let machine = self.typical_capacity(pool);
            let usable = self.usable_workers(pool, now);
            let free: f64 =
                usable.iter().map(|&key| self.workers[key].free().dominant_share(&machine)).sum();
            let mut wanted: BTreeMap<Option<TeamId>, f64> = BTreeMap::new();
            for job in self.jobs.values().filter(|job| job.is_open() && job.pool == *pool) {
                for ready in job.ready_steps() {
                    *wanted.entry(job.spec.team.clone()).or_default() += ready.step.waiting.len()
                        as f64
                        * ready.spec.reservation().dominant_share(&machine);
                }
            }
            if wanted.values().sum::<f64>() <= free {
                return None;
            }
            let demands: Vec<_> =
                wanted.values().map(|&wanted| crate::TeamDemand { weight: 1.0, wanted }).collect();
            let parts = crate::allocate(usable.len() as f64, &demands);
            let teams =
                wanted.into_keys().zip(parts).map(|(team, allocation)| crate::TeamContention {
                    team,
                    share: Share(1),
                    allocation,
                    usage: 0.0,
                    waiting: crate::WorkBySize::default(),
                    is_above: false,
                });
            let teams = teams.collect();
            Some(PoolContention { pool: pool.clone(), capacity: usable.len() as f64, teams })
        });
        pools.collect()
    }

    fn pool_load(
        &mut self,
        contention: &PoolContention,
        now: Instant,
        wall: SystemTime,
    ) -> PoolLoad {
        let pool = &contention.pool;
        let machine = self.typical_capacity(pool);
        let capacity = self.reachable_machines(pool).max(contention.capacity)
            + self.obtainable_machines(pool) as f64;
        let queues = self.queue_sizes(pool);
        let empty_for = self.empty_pools.update(pool, capacity <= 0.0, now);
        PoolLoad {
            pool: pool.clone(),
            machine,
            capacity: MilliMachines::from_machines(capacity),
            empty_for,
            teams: self.team_loads(contention, &queues, wall),
            queues,
        }
    }

    /// Returns the machines of a pool whose workers answer. Those that get no work for a
    /// short time count too.
    fn reachable_machines(&self, pool: &PoolId) -> f64 {
        let machine = self.typical_capacity(pool);
        let is_reachable = |worker: &&crate::worker::Worker| {
            worker.incarnation.pool == *pool
                && worker.registered
                && !worker.draining
                && worker.unreachable_since.is_none()
        };
        let reachable = self.workers.values().filter(is_reachable);
        reachable.map(|worker| worker.capacity.dominant_share(&machine)).sum()
    }

    /// Returns the machines that are being moved to a pool, and those of the spare pool,
    /// which are moved as soon as a pool needs them.
    fn obtainable_machines(&self, pool: &PoolId) -> usize {
        let moving = self.machines.resize.in_transit.values();
        let arriving = moving.filter(|(to, _)| to == pool).count();
        let is_spare = |each: &&crate::Machine| {
            each.state == MachineState::Up
                && self.config.pools.get(&each.pool).is_some_and(|pool| pool.spare)
                && !self.machines.resize.in_transit.contains_key(&each.id)
        };
        arriving + self.machines.list.values().filter(is_spare).count()
    }

    /// Returns the limits of the size classes of a pool's queues, by the jobs in memory.
    fn queue_sizes(&self, pool: &PoolId) -> Vec<QueueSizes> {
        let mut works: HashMap<&QueueId, Vec<f64>> = HashMap::new();
        for job in self.jobs.values().filter(|job| job.pool == *pool) {
            works.entry(&job.spec.queue).or_default().push(job.work);
        }
        let sizes = works.into_iter().map(|(queue, mut works)| {
            works.sort_by(f64::total_cmp);
            let percentile = |part: f64| works[((works.len() - 1) as f64 * part) as usize];
            QueueSizes {
                queue: queue.clone(),
                small_max: percentile(0.7),
                medium_max: percentile(0.9),
            }
        });
        sizes.collect()
    }

    fn team_loads(
        &self,
        contention: &PoolContention,
        queues: &[QueueSizes],
        wall: SystemTime,
    ) -> Vec<TeamLoad> {
        let mut backlogs = self.backlogs(&contention.pool, queues, wall);
        let loads = contention.teams.iter().filter_map(|team| {
            let backlogs = backlogs.remove(&team.team)?;
            Some(TeamLoad {
                team: team.team.clone(),
                allocation: MilliMachines::from_machines(team.allocation),
                backlogs: backlogs.into_values().collect(),
            })
        });
        loads.collect()
    }

    /// Returns the waiting work of a pool that goes before a new job. Work of jobs that
    /// end too late to have value, and steps that wait for earlier ones, do not.
    fn backlogs(&self, pool: &PoolId, queues: &[QueueSizes], wall: SystemTime) -> Backlogs {
        let machine = self.typical_capacity(pool);
        let mut backlogs = Backlogs::new();
        for job in self.jobs.values().filter(|job| job.is_open() && job.pool == *pool) {
            let Some(queue) = self.config.queues.get(&job.spec.queue) else { continue };
            let mean_work = self.queue_work.mean(&job.spec.queue).unwrap_or(job.work);
            let rank = rank(&rank_input(job, queue, mean_work, wall));
            let is_on_time = match rank.timeliness {
                Timeliness::OnTime => true,
                Timeliness::Late => false,
                Timeliness::Continuous | Timeliness::TooLate => continue,
            };
            let class = class_of(&job.spec, queues);
            for (work, task) in waiting_work(job, &machine) {
                let team = backlogs.entry(job.spec.team.clone()).or_default();
                let backlog = team.entry(rank.priority).or_default();
                backlog.priority = rank.priority;
                backlog.add(class, is_on_time, work, task);
            }
        }
        backlogs
    }
}

/// Returns, for each ready step of a job with waiting tasks, their work in
/// machine-seconds and the estimate of one of them.
fn waiting_work(job: &Job, machine: &vg_jobs::Resources) -> impl Iterator<Item = (f64, Duration)> {
    job.ready_steps().filter(|ready| !ready.step.waiting.is_empty()).map(|ready| {
        let machines =
            ready.step.waiting.len() as f64 * ready.spec.reservation().dominant_share(machine);
        (machines * ready.spec.estimate.as_secs_f64(), ready.spec.estimate)
    })
}
