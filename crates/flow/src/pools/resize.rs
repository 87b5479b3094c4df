//! Assignment of machines to pools.
//!
//! Load that this module handles: each queue in turn requests several times the
//! capacity of its pool, while the pools of the others are nearly idle.
//! Machines that a pool does not need wait in the spare pool, where they cost
//! nothing. When a pool's demand rises, machines are moved there before its
//! queue is long.

use std::collections::{HashMap, HashSet};

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::pools::demand::{Demand, PoolSize};
use crate::workers::worker::WorkerKey;
use crate::{MachineCommand, MachineState, Scheduler};

/// Time for which a machine is idle before it is moved to the spare pool.
const IDLE_TIME: Duration = Duration::from_millis(600);
/// The same for a machine in a drained zone. After a short drain its worker is still
/// there, so that it takes work at once.
const DRAINED_IDLE_TIME: Duration = Duration::from_secs(15);
/// Time within which the worker of a moved machine has to register.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Added to the time of a move before a machine counts as arrived.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(100);

/// Demand of the pools, and machines that are being moved.
#[derive(Debug, Default)]
pub(crate) struct PoolSizing {
    pub(crate) demand: Demand,
    /// Capacity of a typical machine of each pool.
    pub(crate) capacities: HashMap<PoolId, Resources>,
    /// Machines that are being moved to a pool, and when they have to be there.
    pub(crate) in_transit: HashMap<SmolStr, (PoolId, Instant)>,
    /// Moves that the platform cannot carry out, so that they are not tried
    /// again.
    pub(crate) refused: HashSet<(SmolStr, PoolId)>,
    /// Since when a worker has had no attempts.
    idle_since: HashMap<WorkerKey, Instant>,
}

impl Scheduler {
    pub(crate) fn uses_spare_pool(&self) -> bool {
        self.config.pools.values().any(|pool| pool.spare)
    }

    /// Moves machines to the pools that need them, and idle machines that no
    /// pool needs to the spare pool.
    pub(crate) fn resize(&mut self, now: Instant) {
        let spare = self.config.pools.iter().find(|(_, pool)| pool.spare);
        let Some(spare) = spare.map(|(id, _)| id.clone()) else { return };
        self.prune(now);
        self.complete_spare_arrivals(&spare, now);
        if now < self.machines.hold_until || self.machines.list.is_empty() {
            return;
        }
        let sizes = self.sizes(&spare, now);
        let mut free = self.spare_machines(&spare, now);
        let mut lacking: Vec<_> = sizes.iter().filter(|(_, size)| size.shortfall() > 0).collect();
        lacking.sort_by(|a, b| b.1.shortfall().cmp(&a.1.shortfall()).then_with(|| a.0.cmp(b.0)));
        let mut donors = self.idle_workers(&sizes, PoolSize::surplus, now);
        for (pool, size) in lacking {
            for _ in 0..size.shortfall() {
                let taken = take_allowed(&mut free, pool, &self.machines.resize.refused)
                    .or_else(|| take_allowed(&mut donors, pool, &self.machines.resize.refused));
                let Some((machine, _)) = taken else { break };
                if !self.machines.takes_commands() {
                    return;
                }
                self.move_machine(machine, pool.clone(), now);
            }
        }
        for (machine, since) in self.idle_workers(&sizes, PoolSize::idle_surplus, now) {
            if since.is_some_and(|since| now.saturating_duration_since(since) >= IDLE_TIME) {
                self.move_to_spare(machine, &spare, now);
            }
        }
        for machine in self.idle_in_drained_zones(&sizes, now) {
            self.move_to_spare(machine, &spare, now);
        }
    }

    /// Moves a machine to the spare pool unless the platform has refused that.
    fn move_to_spare(&mut self, machine: SmolStr, spare: &PoolId, now: Instant) {
        let is_refused = self.machines.resize.refused.contains(&(machine.clone(), spare.clone()));
        if self.machines.takes_commands() && !is_refused {
            self.move_machine(machine, spare.clone(), now);
        }
    }

    /// Returns machines of drained zones that have been idle for a while and whose pool
    /// has enough machines in other zones.
    fn idle_in_drained_zones(
        &self,
        sizes: &HashMap<PoolId, PoolSize>,
        now: Instant,
    ) -> Vec<SmolStr> {
        let drained = self.workers.iter().filter(|(_, worker)| worker.zone_drained);
        let idle = drained.filter(|(key, worker)| {
            let since = self.machines.resize.idle_since.get(key);
            let is_long_idle = since
                .is_some_and(|&since| now.saturating_duration_since(since) >= DRAINED_IDLE_TIME);
            let size = sizes.get(&worker.incarnation.pool);
            is_long_idle
                && worker.attempts.is_empty()
                && worker.is_ready(now)
                && size.is_some_and(PoolSize::is_sufficient)
        });
        let machines = idle.filter_map(|(_, worker)| worker.machine.clone());
        machines.filter(|machine| self.is_movable(machine, now)).collect()
    }

    /// Counts a worker as idle from `now` on at the earliest.
    pub(crate) fn restart_idle_time(&mut self, key: WorkerKey, now: Instant) {
        if let Some(since) = self.machines.resize.idle_since.get_mut(&key) {
            *since = now;
        }
    }

    /// Drops old arrivals and moves that are complete or overdue, and notes
    /// which workers are idle.
    fn prune(&mut self, now: Instant) {
        let resize = &mut self.machines.resize;
        resize.demand.prune(now);
        let registered: HashSet<_> = self
            .workers
            .values()
            .filter(|worker| worker.registered && !worker.leaving)
            .filter_map(|worker| Some((worker.machine.clone()?, worker.incarnation.pool.clone())))
            .collect();
        resize.in_transit.retain(|machine, (pool, until)| {
            now < *until && !registered.contains(&(machine.clone(), pool.clone()))
        });
        let workers = &self.workers;
        resize
            .idle_since
            .retain(|key, _| workers.get(*key).is_some_and(|worker| worker.attempts.is_empty()));
        for (key, worker) in workers {
            if worker.attempts.is_empty() {
                resize.idle_since.entry(key).or_insert(now);
            }
        }
    }

    /// Lets machines that have reached the spare pool move again: no worker
    /// registers there, and the list of machines is read only from time to
    /// time.
    fn complete_spare_arrivals(&mut self, spare: &PoolId, now: Instant) {
        let time_left = ARRIVAL_TIMEOUT.saturating_sub(self.rules.move_time + ARRIVAL_MARGIN);
        let mut arrived = Vec::new();
        self.machines.resize.in_transit.retain(|machine, (pool, until)| {
            let is_there = *pool == *spare && now + time_left >= *until;
            if is_there {
                arrived.push(machine.clone());
            }
            !is_there
        });
        for machine in arrived {
            self.machines.note_change(&machine, now);
            if let Some(listed) = self.machines.list.get_mut(&machine) {
                listed.state = MachineState::Up;
            }
        }
    }

    /// Returns the machines of the spare pool that can be moved. The second
    /// part, the time since which a machine is idle, is `None`.
    fn spare_machines(&self, spare: &PoolId, now: Instant) -> Vec<(SmolStr, Option<Instant>)> {
        let list = self.machines.list.values();
        let up = list.filter(|each| each.pool == *spare && each.state == MachineState::Up);
        let free = up.filter(|each| self.is_movable(&each.id, now) && !self.is_in_use(&each.id));
        let free = free.filter(|each| !self.is_in_drained_zone(&each.id));
        let mut free: Vec<_> = free.map(|each| (each.id.clone(), None)).collect();
        // Machines that await maintenance have it while they are not needed.
        free.sort_by_cached_key(|(id, _)| (self.awaits_maintenance(Some(id)), id.clone()));
        free
    }

    /// Whether a worker on a machine answers or has attempts, whatever pool the list
    /// of machines shows.
    fn is_in_use(&self, machine: &SmolStr) -> bool {
        self.worker_on(machine).is_some_and(|key| {
            let worker = &self.workers[key];
            worker.unreachable_since.is_none() || !worker.attempts.is_empty()
        })
    }

    /// Returns idle machines, at most `max_machines` of each pool, and since
    /// when each is idle.
    fn idle_workers(
        &self,
        sizes: &HashMap<PoolId, PoolSize>,
        max_machines: impl Fn(&PoolSize) -> usize,
        now: Instant,
    ) -> Vec<(SmolStr, Option<Instant>)> {
        let mut left: HashMap<&PoolId, usize> =
            sizes.iter().map(|(pool, size)| (pool, max_machines(size))).collect();
        let mut idle = Vec::new();
        for (key, worker) in &self.workers {
            let Some(machine) = &worker.machine else { continue };
            let Some(left) = left.get_mut(&worker.incarnation.pool) else { continue };
            let since = self.machines.resize.idle_since.get(&key);
            if *left > 0
                && worker.attempts.is_empty()
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

    /// Whether a machine may be commanded now and is neither being moved nor
    /// out of service for a wave.
    fn is_movable(&self, machine: &SmolStr, now: Instant) -> bool {
        self.machines.may_command(machine, now)
            && !self.machines.resize.in_transit.contains_key(machine)
            && !self
                .machines
                .waves
                .values()
                .any(|active| active.draining.contains_key(machine) || active.is_down(machine, now))
    }

    fn move_machine(&mut self, machine: SmolStr, pool: PoolId, now: Instant) {
        if let Some(key) = self.worker_on(&machine) {
            self.workers[key].cordoned = true;
        }
        self.machines
            .resize
            .in_transit
            .insert(machine.clone(), (pool.clone(), now + ARRIVAL_TIMEOUT));
        self.command_machine(MachineCommand::Move { machine, pool }, now);
    }

    /// Records that a move was carried out.
    pub(crate) fn move_accepted(&mut self, machine: &SmolStr, pool: &PoolId, now: Instant) {
        if let Some(listed) = self.machines.list.get_mut(machine) {
            listed.pool = pool.clone();
            listed.state = MachineState::Moving;
        }
        self.machines
            .resize
            .in_transit
            .insert(machine.clone(), (pool.clone(), now + ARRIVAL_TIMEOUT));
    }

    /// Records that a move was not carried out; `permanent` if it was refused
    /// permanently.
    pub(crate) fn move_failed(&mut self, machine: &SmolStr, pool: &PoolId, permanent: bool) {
        self.machines.resize.in_transit.remove(machine);
        if permanent {
            self.machines.resize.refused.insert((machine.clone(), pool.clone()));
        }
    }
}

/// Takes the first machine that may be moved to a pool.
fn take_allowed(
    from: &mut Vec<(SmolStr, Option<Instant>)>,
    pool: &PoolId,
    refused: &HashSet<(SmolStr, PoolId)>,
) -> Option<(SmolStr, Option<Instant>)> {
    let at = from.iter().position(|(id, _)| !refused.contains(&(id.clone(), pool.clone())))?;
    Some(from.remove(at))
}
