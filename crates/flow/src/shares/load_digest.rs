//! Computes the digest of the load of contended pools.
//!
//! Load that this module handles: thousands of tasks wait at a peak. The leader computes
//! the digest between two rounds, and only if some pool is contended.

use std::collections::{BTreeMap, HashMap};

use vg_base::prelude::*;

use crate::jobs::job::Job;
use crate::placement::plan::rank_input;
use crate::shares::load::{Backlog, LoadDigest, MilliMachines, PoolLoad, QueueSizes, TeamLoad};
use crate::{MachineState, PoolContention, Scheduler, SizeClass, TeamContention, Timeliness, rank};

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

/// Waiting work of a pool.
#[derive(Debug, Default)]
struct Backlogs {
    /// By team and priority.
    teams: HashMap<Option<TeamId>, BTreeMap<u32, Backlog>>,
    queues: HashMap<QueueId, QueueSizes>,
}

impl Backlogs {
    fn of(&mut self, team: &Option<TeamId>, priority: u32) -> &mut Backlog {
        let team = self.teams.entry(team.clone()).or_default();
        team.entry(priority).or_insert_with(|| Backlog { priority, ..Backlog::default() })
    }

    fn add_size(&mut self, queue: &QueueId, class: SizeClass, work: f64) {
        let sizes = self.queues.entry(queue.clone());
        sizes.or_insert_with(|| QueueSizes::new(queue.clone())).add(class, work);
    }

    /// Returns the load of the teams that have work waiting.
    fn team_loads(&mut self, teams: &[TeamContention]) -> Vec<TeamLoad> {
        let loads = teams.iter().filter_map(|team| {
            let backlogs = self.teams.remove(&team.team)?;
            Some(TeamLoad {
                team: team.team.clone(),
                allocation: MilliMachines::from_machines(team.allocation),
                backlogs: backlogs.into_values().collect(),
            })
        });
        loads.collect()
    }
}

impl Scheduler {
    /// Returns the load of the contended pools and of the adviser; `None` if no pool is
    /// contended and no queue waits for long for the adviser.
    pub fn load_digest(&mut self, now: Instant, wall: SystemTime) -> Option<LoadDigest> {
        let contended = self.contended_pools();
        self.empty_pools.keep(&contended);
        let advice = self.advice_load(now, wall);
        if contended.is_empty() && advice.is_empty() {
            return None;
        }
        let pools = contended.iter().map(|each| self.pool_load(each, now, wall)).collect();
        Some(LoadDigest { token: self.token, pools, advice })
    }

    fn pool_load(
        &mut self,
        contention: &PoolContention,
        now: Instant,
        wall: SystemTime,
    ) -> PoolLoad {
        let pool = &contention.pool;
        let obtainable = self.obtainable_machines(pool);
        let reachable = self.reachable_machines(pool);
        let capacity = reachable.max(contention.capacity) + obtainable as f64;
        let is_empty = reachable <= 0.0 && obtainable == 0;
        let empty_for = self.empty_pools.update(pool, is_empty, now);
        let mut backlogs = self.backlogs(pool, wall);
        PoolLoad {
            pool: pool.clone(),
            machine: self.typical_capacity(pool),
            capacity: MilliMachines::from_machines(capacity),
            empty_for,
            teams: backlogs.team_loads(&contention.teams),
            queues: backlogs.queues.into_values().collect(),
        }
    }

    /// Returns the machines of a pool whose workers answer. Those that get no work for a
    /// short time count too.
    fn reachable_machines(&self, pool: &PoolId) -> f64 {
        let machine = self.typical_capacity(pool);
        let is_reachable = |worker: &&crate::workers::worker::Worker| {
            worker.incarnation.pool == *pool
                && worker.registered
                && !worker.draining
                && !worker.zone_drained
                && worker.unreachable_since.is_none()
        };
        let reachable = self.workers.values().filter(is_reachable);
        let share = |worker: &crate::workers::worker::Worker| {
            worker.full_capacity.dominant_share(&machine) * worker.present_share()
        };
        reachable.map(share).sum()
    }

    /// Returns the machines that are being moved to a pool, and those of the spare pool,
    /// which are moved as soon as a pool needs them.
    fn obtainable_machines(&self, pool: &PoolId) -> usize {
        let resize = &self.machines.resize;
        let is_arriving = |(machine, (to, _)): &(&SmolStr, &(PoolId, Instant))| {
            to == pool && !self.is_in_drained_zone(machine)
        };
        let arriving = resize.in_transit.iter().filter(is_arriving).count();
        let is_spare = |each: &&crate::Machine| {
            each.state == MachineState::Up
                && self.config.pools.get(&each.pool).is_some_and(|pool| pool.spare)
                && !resize.in_transit.contains_key(&each.id)
                && !self.is_in_drained_zone(&each.id)
                && !resize.refused.contains(&(each.id.clone(), pool.clone()))
        };
        arriving + self.machines.list.values().filter(is_spare).count()
    }

    /// Returns the waiting work of a pool that goes before a new job. Work of jobs that
    /// end too late to have value, and steps that wait for earlier ones, do not.
    fn backlogs(&self, pool: &PoolId, wall: SystemTime) -> Backlogs {
        let machine = self.typical_capacity(pool);
        let mut backlogs = Backlogs::default();
        for (key, job) in &self.jobs {
            if !job.is_open() || job.pool() != pool {
                continue;
            }
            let Some(queue) = self.config.queue_of(&job.spec) else { continue };
            let mean_work = self.queue_work.mean(&job.spec.queue).unwrap_or(job.work);
            let rank = rank(&rank_input(job, queue, mean_work, wall));
            let is_on_time = match rank.timeliness {
                Timeliness::OnTime => true,
                Timeliness::Late => false,
                Timeliness::Continuous | Timeliness::TooLate => continue,
            };
            let class = self.size_class(key);
            for (work, task) in waiting_work(job, &machine) {
                backlogs.add_size(&job.spec.queue, class, job.work);
                let backlog = backlogs.of(&job.spec.team, rank.priority);
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
