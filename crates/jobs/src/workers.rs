//! The workers of a pool, indexed by free room.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;

use slotmap::SlotMap;
use vg_base::prelude::*;

use crate::job::JobKey;
use crate::worker::Worker;
use crate::{Class, Health, Limits, Resources, WorkerSpec, WorkerState};

slotmap::new_key_type! {
    /// Key of a worker in its table.
    pub(crate) struct WorkerKey;
}

/// Feasible workers that best fit compares.
const CANDIDATES: usize = 24;

/// What a job needs of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Need<'a> {
    pub(crate) size: Resources,
    pub(crate) class: Class,
    pub(crate) idempotent: bool,
    pub(crate) avoid: &'a [HostId],
    pub(crate) limits: &'a Limits,
}

/// Numbers for names from 1 on, so that counts by rack and zone are vectors.
#[derive(Debug)]
struct Names<T>(HashMap<T, usize>);

impl<T: Hash + Eq + Clone> Names<T> {
    fn number(&mut self, name: &T) -> usize {
        let next = self.0.len() + 1;
        *self.0.entry(name.clone()).or_insert(next)
    }
}

/// Workers by their free cores, in thousandths.
type ByCores = BTreeMap<u32, BTreeSet<WorkerKey>>;

/// The workers of one pool.
#[derive(Debug)]
pub(crate) struct Workers {
    table: SlotMap<WorkerKey, Worker>,
    hosts: BTreeMap<HostId, WorkerKey>,
    racks: Names<RackId>,
    zones: Names<ZoneId>,
    /// Urgent jobs by rack and by zone.
    rack_urgent: Vec<u32>,
    zone_urgent: Vec<u32>,
    /// Workers by free cores, without and with accelerators.
    plain: ByCores,
    special: ByCores,
    total: Resources,
    used: Resources,
}

impl Default for Workers {
    fn default() -> Workers {
        Workers {
            table: SlotMap::with_key(),
            hosts: BTreeMap::new(),
            racks: Names(HashMap::new()),
            zones: Names(HashMap::new()),
            rack_urgent: vec![0],
            zone_urgent: vec![0],
            plain: ByCores::new(),
            special: ByCores::new(),
            total: Resources::ZERO,
            used: Resources::ZERO,
        }
    }
}

impl Workers {
    pub(crate) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.table.get(key)
    }

    /// Gives a worker to change in anything but its room.
    pub(crate) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.table.get_mut(key)
    }

    pub(crate) fn find(&self, host: &HostId) -> Option<WorkerKey> {
        self.hosts.get(host).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.table.iter()
    }

    pub(crate) fn keys(&self) -> Vec<WorkerKey> {
        self.hosts.values().copied().collect()
    }

    /// Returns what all listed workers have together.
    pub(crate) fn total(&self) -> &Resources {
        &self.total
    }

    /// Whether any listed worker could hold the size when empty. A pool that
    /// has no listed worker says nothing about it.
    pub(crate) fn could_hold(&self, size: &Resources) -> bool {
        let mut listed = self.table.values().filter(|worker| worker.listed).peekable();
        listed.peek().is_none() || listed.any(|worker| size.fits(&worker.total))
    }

    /// Adds a worker that is not in the host list, for an attempt on it.
    pub(crate) fn add_unlisted(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        lease: Instant,
    ) -> WorkerKey {
        let key = self.add(host);
        if let Some(worker) = self.table.get_mut(key) {
            worker.incarnation = incarnation;
            worker.lease = Some(lease);
        }
        key
    }

    /// Takes in a worker of the host list.
    pub(crate) fn list(&mut self, spec: &WorkerSpec) -> WorkerKey {
        let key = self.find(&spec.host).unwrap_or_else(|| self.add(&spec.host));
        let rack = self.racks.number(&spec.rack);
        let zone = self.zones.number(&spec.zone);
        self.rack_urgent.resize(self.racks.0.len() + 1, 0);
        self.zone_urgent.resize(self.zones.0.len() + 1, 0);
        self.change(key, |worker| {
            worker.rack = rack;
            worker.zone = zone;
            worker.total = spec.capacity;
            worker.leaving = spec.leaving;
            worker.listed = true;
        });
        key
    }

    /// Takes a worker off the list; it stays until it runs nothing.
    pub(crate) fn unlist(&mut self, key: WorkerKey) {
        self.change(key, |worker| worker.listed = false);
        self.drop_unused(key);
    }

    fn drop_unused(&mut self, key: WorkerKey) {
        let Some(worker) = self.table.get(key) else { return };
        if worker.listed || !worker.jobs.is_empty() {
            return;
        }
        let host = worker.host.clone();
        self.leave_index(key);
        self.table.remove(key);
        self.hosts.remove(&host);
    }

    fn add(&mut self, host: &HostId) -> WorkerKey {
        // Rack and zone 0 stand for unknown ones until the host is listed.
        let key = self.table.insert(Worker {
            host: host.clone(),
            rack: 0,
            zone: 0,
            total: Resources::ZERO,
            used: Resources::ZERO,
            listed: false,
            leaving: false,
            incarnation: Incarnation::ZERO,
            lease: None,
            jobs: BTreeSet::new(),
            urgent: 0,
            health: Health::default(),
            usage: None,
            crowded: None,
            relieved: None,
        });
        self.hosts.insert(host.clone(), key);
        self.enter_index(key);
        key
    }

    /// Gives room of a worker to a job.
    pub(crate) fn hold(&mut self, key: WorkerKey, job: JobKey, size: &Resources, class: Class) {
        self.change(key, |worker| {
            worker.jobs.insert(job);
            worker.used = worker.used.plus(size);
            worker.urgent += usize::from(class == Class::Urgent);
        });
    }

    /// Takes the room back.
    pub(crate) fn release(&mut self, key: WorkerKey, job: JobKey, size: &Resources, class: Class) {
        self.change(key, |worker| {
            worker.jobs.remove(&job);
            worker.used = worker.used.minus(size);
            worker.urgent -= usize::from(class == Class::Urgent);
        });
        self.drop_unused(key);
    }

    /// Changes a worker and keeps the index and the sums right.
    fn change(&mut self, key: WorkerKey, edit: impl FnOnce(&mut Worker)) {
        self.leave_index(key);
        if let Some(worker) = self.table.get_mut(key) {
            edit(worker);
        }
        self.enter_index(key);
    }

    fn leave_index(&mut self, key: WorkerKey) {
        let Some(worker) = self.table.get(key) else { return };
        let special = worker.total.accelerators.0 > 0;
        let index = if special { &mut self.special } else { &mut self.plain };
        let cores = worker.room().cores.0;
        if let Some(keys) = index.get_mut(&cores) {
            keys.remove(&key);
            if keys.is_empty() {
                index.remove(&cores);
            }
        }
        self.rack_urgent[worker.rack] -= worker.urgent as u32;
        self.zone_urgent[worker.zone] -= worker.urgent as u32;
        if worker.listed {
            self.total = self.total.minus(&worker.total);
            self.used = self.used.minus(&worker.used);
        }
    }

    fn enter_index(&mut self, key: WorkerKey) {
        let Some(worker) = self.table.get(key) else { return };
        let special = worker.total.accelerators.0 > 0;
        let index = if special { &mut self.special } else { &mut self.plain };
        index.entry(worker.room().cores.0).or_default().insert(key);
        self.rack_urgent[worker.rack] += worker.urgent as u32;
        self.zone_urgent[worker.zone] += worker.urgent as u32;
        if worker.listed {
            self.total = self.total.plus(&worker.total);
            self.used = self.used.plus(&worker.used);
        }
    }

    /// Finds room for a job.
    ///
    /// Urgent jobs go where the fewest urgent ones are, by rack and then by
    /// zone, so that a rack's loss takes as few of them as can be. Background
    /// jobs go where they leave the least of the pool's scarcest resource.
    pub(crate) fn seek(&self, need: &Need<'_>, now: Instant) -> Option<WorkerKey> {
        match need.class {
            Class::Urgent => self.seek_spread(need, now),
            Class::Background => self.seek_tight(need, now),
        }
    }

    /// Hosts with accelerators come last for jobs that need none.
    fn seek_spread(&self, need: &Need<'_>, now: Instant) -> Option<WorkerKey> {
        let plain = || self.most_apart(&self.plain, need, now);
        let found = if need.size.accelerators.0 == 0 { plain() } else { None };
        found.or_else(|| self.most_apart(&self.special, need, now))
    }

    fn most_apart(&self, index: &ByCores, need: &Need<'_>, now: Instant) -> Option<WorkerKey> {
        let rank = |worker: &Worker| {
            (self.rack_urgent[worker.rack], self.zone_urgent[worker.zone], worker.room().cores)
        };
        let able = self.roomy(index, need).filter(|(_, worker)| admits(worker, need, now));
        able.min_by_key(|(_, worker)| rank(worker)).map(|(key, _)| key)
    }

    /// Returns the workers with enough free cores, fewest first.
    fn roomy<'a>(
        &'a self,
        index: &'a ByCores,
        need: &Need<'_>,
    ) -> impl Iterator<Item = (WorkerKey, &'a Worker)> {
        let keys = index.range(need.size.cores.0..).flat_map(|(_, keys)| keys);
        keys.filter_map(|&key| Some((key, self.get(key)?)))
    }

    fn seek_tight(&self, need: &Need<'_>, now: Instant) -> Option<WorkerKey> {
        let found = self.tightest(&self.plain, need, now, |_| need.size.accelerators.0 == 0);
        found.or_else(|| {
            self.tightest(&self.special, need, now, |worker| keeps_accelerators(worker, need))
        })
    }

    fn tightest(
        &self,
        index: &ByCores,
        need: &Need<'_>,
        now: Instant,
        allowed: impl Fn(&Worker) -> bool,
    ) -> Option<WorkerKey> {
        let able = self
            .roomy(index, need)
            .filter(|(_, worker)| admits(worker, need, now) && allowed(worker));
        let left = |worker: &Worker| self.scarcest_left(worker, need);
        able.take(CANDIDATES).min_by(|a, b| left(a.1).total_cmp(&left(b.1))).map(|(key, _)| key)
    }

    /// Returns what part of its scarcest resource a worker would have left.
    fn scarcest_left(&self, worker: &Worker, need: &Need<'_>) -> f64 {
        let room = worker.room().minus(&need.size);
        let cores = f64::from(self.used.cores.0) * self.total.memory.0 as f64;
        let memory = self.used.memory.0 as f64 * f64::from(self.total.cores.0);
        if cores >= memory {
            f64::from(room.cores.0) / f64::from(worker.total.cores.0.max(1))
        } else {
            room.memory.0 as f64 / worker.total.memory.0.max(1) as f64
        }
    }
}

pub(crate) fn admits(worker: &Worker, need: &Need<'_>, now: Instant) -> bool {
    need.size.fits(&worker.room()) && takes_work(worker, need, now)
}

/// Whether a worker may get the job, room aside.
pub(crate) fn takes_work(worker: &Worker, need: &Need<'_>, now: Instant) -> bool {
    worker.state(now) == WorkerState::Up
        && worker.crowded.is_none_or(|until| now >= until)
        && worker.health.admits(need.limits, need.idempotent, worker.jobs.len(), now)
        && !need.avoid.contains(&worker.host)
}

/// Whether a background job leaves enough beside each free accelerator for a
/// job that needs it.
fn keeps_accelerators(worker: &Worker, need: &Need<'_>) -> bool {
    let whole = u64::from(worker.total.accelerators.0);
    let room = worker.room().minus(&need.size);
    let free = u64::from(room.accelerators.0);
    need.size.accelerators.0 > 0
        || (u64::from(room.cores.0) * whole >= u64::from(worker.total.cores.0) * free
            && room.memory.0 * whole >= worker.total.memory.0 * free)
}
