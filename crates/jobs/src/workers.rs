//! The workers of a pool, indexed by their free cores.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;

use slotmap::SlotMap;
use vg_base::prelude::*;

use crate::job::JobKey;
use crate::worker::Worker;
use crate::{Class, Health, Limits, Resources, WorkerSpec, WorkerState};

slotmap::new_key_type! {
    /// Key of a worker in the worker table of its pool.
    pub(crate) struct WorkerKey;
}

/// Number of eligible workers that best fit compares.
const BEST_FIT_CANDIDATES: usize = 24;

/// Requirements of a job on its worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Need<'a> {
    /// Resources to reserve.
    pub(crate) size: Resources,
    pub(crate) class: Class,
    pub(crate) idempotent: bool,
    /// Workers that must not be chosen.
    pub(crate) avoid: &'a [HostId],
    pub(crate) limits: &'a Limits,
}

/// Numbers names from 1 on, so that counts by rack and zone can be kept in vectors.
#[derive(Debug)]
struct Numbering<T>(HashMap<T, usize>);

impl<T: Hash + Eq + Clone> Numbering<T> {
    fn number(&mut self, name: &T) -> usize {
        let next = self.0.len() + 1;
        *self.0.entry(name.clone()).or_insert(next)
    }
}

/// Workers by their free processor time, in thousandths of a core.
type ByCores = BTreeMap<u32, BTreeSet<WorkerKey>>;

/// The workers of one pool.
#[derive(Debug)]
pub(crate) struct Workers {
    table: SlotMap<WorkerKey, Worker>,
    hosts: BTreeMap<HostId, WorkerKey>,
    racks: Numbering<RackId>,
    zones: Numbering<ZoneId>,
    /// Number of urgent jobs in each rack and in each zone.
    rack_urgent: Vec<u32>,
    zone_urgent: Vec<u32>,
    /// Workers by free cores, without and with accelerators.
    without_accelerators: ByCores,
    with_accelerators: ByCores,
    /// Resources of all listed workers.
    total: Resources,
    /// Resources reserved on all listed workers.
    used: Resources,
}

impl Default for Workers {
    fn default() -> Workers {
        Workers {
            table: SlotMap::with_key(),
            hosts: BTreeMap::new(),
            racks: Numbering(HashMap::new()),
            zones: Numbering(HashMap::new()),
            rack_urgent: vec![0],
            zone_urgent: vec![0],
            without_accelerators: ByCores::new(),
            with_accelerators: ByCores::new(),
            total: Resources::ZERO,
            used: Resources::ZERO,
        }
    }
}

impl Workers {
    pub(crate) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.table.get(key)
    }

    /// Returns a worker for changes that the index and the sums do not depend on: to
    /// anything but its capacity, reserved resources, urgent jobs, rack, zone and
    /// whether it is listed.
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

    /// Returns the resources of all listed workers together.
    pub(crate) fn total(&self) -> &Resources {
        &self.total
    }

    /// Whether any listed worker could hold the size if no job ran there. Returns
    /// `true` if no worker is listed, as nothing is known about the pool then.
    pub(crate) fn could_hold(&self, size: &Resources) -> bool {
        let mut listed = self.table.values().filter(|worker| worker.listed).peekable();
        listed.peek().is_none() || listed.any(|worker| size.fits(&worker.capacity))
    }

    /// Adds a worker that is not in the host list, because an attempt is assigned
    /// to it.
    pub(crate) fn add_unlisted(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        lease_end: Instant,
    ) -> WorkerKey {
        let key = self.add(host);
        if let Some(worker) = self.table.get_mut(key) {
            worker.incarnation = incarnation;
            worker.lease_end = Some(lease_end);
        }
        key
    }

    /// Adds or updates a worker of the host list.
    pub(crate) fn add_listed(&mut self, spec: &WorkerSpec) -> WorkerKey {
        let key = self.find(&spec.host).unwrap_or_else(|| self.add(&spec.host));
        let rack = self.racks.number(&spec.rack);
        let zone = self.zones.number(&spec.zone);
        self.rack_urgent.resize(self.racks.0.len() + 1, 0);
        self.zone_urgent.resize(self.zones.0.len() + 1, 0);
        self.update(key, |worker| {
            worker.rack = rack;
            worker.zone = zone;
            worker.capacity = spec.capacity;
            worker.leaving = spec.leaving;
            worker.listed = true;
        });
        key
    }

    /// Marks a worker as not listed. It is removed once no job is assigned to it.
    pub(crate) fn unlist(&mut self, key: WorkerKey) {
        self.update(key, |worker| worker.listed = false);
        self.remove_if_unused(key);
    }

    /// Removes a worker that is not listed and has no jobs.
    fn remove_if_unused(&mut self, key: WorkerKey) {
        let Some(worker) = self.table.get(key) else { return };
        if worker.listed || !worker.jobs.is_empty() {
            return;
        }
        let host = worker.host.clone();
        self.remove_from_index(key);
        self.table.remove(key);
        self.hosts.remove(&host);
    }

    fn add(&mut self, host: &HostId) -> WorkerKey {
        // Rack and zone 0 stand for unknown ones until the host is listed.
        let key = self.table.insert(Worker {
            host: host.clone(),
            rack: 0,
            zone: 0,
            capacity: Resources::ZERO,
            reserved: Resources::ZERO,
            listed: false,
            leaving: false,
            incarnation: Incarnation::ZERO,
            lease_end: None,
            jobs: BTreeSet::new(),
            urgent_jobs: 0,
            health: Health::default(),
            usage: None,
            full_until: None,
            relieved_at: None,
        });
        self.hosts.insert(host.clone(), key);
        self.add_to_index(key);
        key
    }

    /// Reserves resources of a worker for a job.
    pub(crate) fn reserve(&mut self, key: WorkerKey, job: JobKey, size: &Resources, class: Class) {
        self.update(key, |worker| {
            worker.jobs.insert(job);
            worker.reserved = worker.reserved.plus(size);
            worker.urgent_jobs += usize::from(class == Class::Urgent);
        });
    }

    /// Releases the resources that a job has reserved on a worker.
    pub(crate) fn release(&mut self, key: WorkerKey, job: JobKey, size: &Resources, class: Class) {
        self.update(key, |worker| {
            worker.jobs.remove(&job);
            worker.reserved = worker.reserved.minus(size);
            worker.urgent_jobs -= usize::from(class == Class::Urgent);
        });
        self.remove_if_unused(key);
    }

    /// Changes a worker and updates the index and the sums.
    fn update(&mut self, key: WorkerKey, apply: impl FnOnce(&mut Worker)) {
        self.remove_from_index(key);
        if let Some(worker) = self.table.get_mut(key) {
            apply(worker);
        }
        self.add_to_index(key);
    }

    /// Takes a worker out of the index and the sums. It must be added again after
    /// it was changed.
    fn remove_from_index(&mut self, key: WorkerKey) {
        let Some(worker) = self.table.get(key) else { return };
        let has_accelerators = worker.capacity.accelerators.0 > 0;
        let index = if has_accelerators {
            &mut self.with_accelerators
        } else {
            &mut self.without_accelerators
        };
        let cores = worker.free().cores.0;
        if let Some(keys) = index.get_mut(&cores) {
            keys.remove(&key);
            if keys.is_empty() {
                index.remove(&cores);
            }
        }
        self.rack_urgent[worker.rack] -= worker.urgent_jobs as u32;
        self.zone_urgent[worker.zone] -= worker.urgent_jobs as u32;
        if worker.listed {
            self.total = self.total.minus(&worker.capacity);
            self.used = self.used.minus(&worker.reserved);
        }
    }

    fn add_to_index(&mut self, key: WorkerKey) {
        let Some(worker) = self.table.get(key) else { return };
        let has_accelerators = worker.capacity.accelerators.0 > 0;
        let index = if has_accelerators {
            &mut self.with_accelerators
        } else {
            &mut self.without_accelerators
        };
        index.entry(worker.free().cores.0).or_default().insert(key);
        self.rack_urgent[worker.rack] += worker.urgent_jobs as u32;
        self.zone_urgent[worker.zone] += worker.urgent_jobs as u32;
        if worker.listed {
            self.total = self.total.plus(&worker.capacity);
            self.used = self.used.plus(&worker.reserved);
        }
    }

    /// Finds a worker with enough free resources for a job.
    ///
    /// Urgent jobs go where the fewest urgent jobs are, by rack and then by zone,
    /// so that the loss of a rack affects as few of them as possible. Background
    /// jobs go where they leave the least of the pool's scarcest resource.
    pub(crate) fn find_for(&self, need: &Need<'_>, now: Instant) -> Option<WorkerKey> {
        match need.class {
            Class::Urgent => self.find_spread(need, now),
            Class::Background => self.find_packed(need, now),
        }
    }

    /// Finds the worker that keeps urgent jobs most spread out. Hosts with
    /// accelerators come last for jobs that need none.
    fn find_spread(&self, need: &Need<'_>, now: Instant) -> Option<WorkerKey> {
        let without_accelerators = || self.most_spread(&self.without_accelerators, need, now);
        let found = if need.size.accelerators.0 == 0 { without_accelerators() } else { None };
        found.or_else(|| self.most_spread(&self.with_accelerators, need, now))
    }

    /// Finds the worker whose rack has the fewest urgent jobs, then whose zone has
    /// the fewest, then with the fewest free cores.
    fn most_spread(&self, index: &ByCores, need: &Need<'_>, now: Instant) -> Option<WorkerKey> {
        let rank = |worker: &Worker| {
            (self.rack_urgent[worker.rack], self.zone_urgent[worker.zone], worker.free().cores)
        };
        let eligible =
            self.with_free_cores(index, need).filter(|(_, worker)| can_run(worker, need, now));
        eligible.min_by_key(|(_, worker)| rank(worker)).map(|(key, _)| key)
    }

    /// Returns the workers with enough free cores, those with the fewest free cores
    /// first.
    fn with_free_cores<'a>(
        &'a self,
        index: &'a ByCores,
        need: &Need<'_>,
    ) -> impl Iterator<Item = (WorkerKey, &'a Worker)> {
        let keys = index.range(need.size.cores.0..).flat_map(|(_, keys)| keys);
        keys.filter_map(|&key| Some((key, self.get(key)?)))
    }

    /// Finds the worker on which a background job fits best. Hosts with
    /// accelerators come last, and are used by jobs that need none only if enough
    /// is left beside the free accelerators.
    fn find_packed(&self, need: &Need<'_>, now: Instant) -> Option<WorkerKey> {
        let found =
            self.best_fit(&self.without_accelerators, need, now, |_| need.size.accelerators.0 == 0);
        found.or_else(|| {
            self.best_fit(&self.with_accelerators, need, now, |worker| {
                leaves_accelerators_usable(worker, need)
            })
        })
    }

    /// Finds the worker that has the least of the pool's scarcest resource left beside
    /// the job, among the first [`BEST_FIT_CANDIDATES`] eligible ones.
    fn best_fit(
        &self,
        index: &ByCores,
        need: &Need<'_>,
        now: Instant,
        allowed: impl Fn(&Worker) -> bool,
    ) -> Option<WorkerKey> {
        let eligible = self
            .with_free_cores(index, need)
            .filter(|(_, worker)| can_run(worker, need, now) && allowed(worker));
        let remaining_fraction = |worker: &Worker| self.scarcest_remaining(worker, need);
        eligible
            .take(BEST_FIT_CANDIDATES)
            .min_by(|a, b| remaining_fraction(a.1).total_cmp(&remaining_fraction(b.1)))
            .map(|(key, _)| key)
    }

    /// Returns the fraction of a worker's capacity that would be left beside the job,
    /// of the pool's scarcest resource: cores or memory, whichever has the larger
    /// fraction reserved over all listed workers.
    fn scarcest_remaining(&self, worker: &Worker, need: &Need<'_>) -> f64 {
        let remaining = worker.free().minus(&need.size);
        // Compares `used / total` of both resources, cross-multiplied.
        let cores = f64::from(self.used.cores.0) * self.total.memory.0 as f64;
        let memory = self.used.memory.0 as f64 * f64::from(self.total.cores.0);
        if cores >= memory {
            f64::from(remaining.cores.0) / f64::from(worker.capacity.cores.0.max(1))
        } else {
            remaining.memory.0 as f64 / worker.capacity.memory.0.max(1) as f64
        }
    }
}

/// Whether a worker has enough free resources for the job and may get it.
pub(crate) fn can_run(worker: &Worker, need: &Need<'_>, now: Instant) -> bool {
    need.size.fits(&worker.free()) && accepts_work(worker, need, now)
}

/// Whether a worker may get the job, apart from its free resources.
pub(crate) fn accepts_work(worker: &Worker, need: &Need<'_>, now: Instant) -> bool {
    worker.state(now) == WorkerState::Up
        && worker.full_until.is_none_or(|until| now >= until)
        && worker.health.admits(need.limits, need.idempotent, worker.jobs.len(), now)
        && !need.avoid.contains(&worker.host)
}

/// Whether the job leaves enough cores and memory beside each free accelerator for
/// a job that needs the accelerator.
fn leaves_accelerators_usable(worker: &Worker, need: &Need<'_>) -> bool {
    let total = u64::from(worker.capacity.accelerators.0);
    let remaining = worker.free().minus(&need.size);
    let free = u64::from(remaining.accelerators.0);
    need.size.accelerators.0 > 0
        || (u64::from(remaining.cores.0) * total >= u64::from(worker.capacity.cores.0) * free
            && remaining.memory.0 * total >= worker.capacity.memory.0 * free)
}
