//! Drains of availability zones: nothing starts on the workers of a drained zone.
//!
//! Load that this module handles: a zone with a third of the workers is drained while one
//! queue requests several times the capacity of its pool. The pool has to get machines of
//! other zones at once, and the zone has to take work at once when the drain ends. That
//! nothing starts in the zone follows from `Worker::is_usable`, through which each start
//! finds its worker. How pools are sized without the zone is decided in
//! [`crate::pools::demand`] and [`crate::pools::resize`], and which continuous tasks leave it in
//! [`crate::pools::zone_exit`].

use std::collections::{BTreeMap, BTreeSet, HashMap};

use vg_base::prelude::*;

use crate::Scheduler;
use crate::jobs::attempt::{Attempt, AttemptKey};
use crate::workers::worker::{Worker, WorkerKey};

/// The zones that are drained, and what is remembered of earlier drains.
#[derive(Debug, Default)]
pub(crate) struct ZoneDrains {
    /// Zones that are drained now.
    pub(crate) zones: BTreeSet<ZoneId>,
    /// Zones that have been drained at some time since this leader took over.
    drained_before: BTreeSet<ZoneId>,
    /// Zones of machines by the registrations of their workers. The list of machines
    /// need not have zones.
    machine_zones: HashMap<SmolStr, ZoneId>,
}

/// What is left in a drained zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDrainStatus {
    /// The zone.
    pub zone: ZoneId,
    /// Registered workers of the zone.
    pub workers: usize,
    /// Attempts of continuous tasks there, started or starting.
    pub continuous: usize,
    /// Other attempts there.
    pub other: usize,
    /// Whether all that runs there is known: each worker has answered this leader.
    pub complete: bool,
}

impl ZoneDrainStatus {
    /// Whether it is known that nothing runs in the zone.
    pub fn is_empty(&self) -> bool {
        self.complete && self.continuous + self.other == 0
    }
}

impl Scheduler {
    /// Replaces the set of drained zones. Workers of zones that are no longer drained
    /// can be given work at once.
    pub fn set_drained_zones(&mut self, zones: BTreeSet<ZoneId>, now: Instant) {
        if zones == self.zone_drains.zones {
            return;
        }
        self.zone_drains.drained_before.extend(zones.iter().cloned());
        self.zone_drains.zones = zones;
        self.release_drain_reserves();
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let was_drained = self.workers[key].zone_drained;
            self.enter_zone(key);
            if was_drained && !self.workers[key].zone_drained {
                self.restart_idle_time(key, now);
            }
        }
    }

    /// Returns what is left in each drained zone.
    pub fn zone_drain_statuses(&self) -> Vec<ZoneDrainStatus> {
        let complete = self.unresolved.is_empty();
        let new_status = |zone: &ZoneId| {
            let zone = zone.clone();
            (zone.clone(), ZoneDrainStatus { zone, workers: 0, continuous: 0, other: 0, complete })
        };
        let mut statuses: BTreeMap<_, _> = self.zone_drains.zones.iter().map(new_status).collect();
        for worker in self.workers.values().filter(|worker| worker.zone_drained) {
            let Some(status) = statuses.get_mut(&worker.zone) else { continue };
            let continuous =
                worker.attempts.iter().filter(|&&attempt| self.is_continuous(attempt)).count();
            status.workers += usize::from(worker.registered);
            status.complete &= worker.polled || !worker.registered;
            status.continuous += continuous;
            status.other += worker.attempts.len() - continuous;
        }
        statuses.into_values().collect()
    }

    /// Whether there are registered workers and all of them are in drained zones.
    pub fn is_fleet_drained(&self) -> bool {
        let mut registered = self.workers.values().filter(|worker| worker.registered).peekable();
        registered.peek().is_some() && registered.all(|worker| worker.zone_drained)
    }

    /// Notes the zone of a worker that has registered, or whose zone is drained or not
    /// from now on.
    pub(crate) fn enter_zone(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        worker.zone_drained = self.zone_drains.zones.contains(&worker.zone);
        if let Some(machine) = &worker.machine {
            self.zone_drains.machine_zones.insert(machine.clone(), worker.zone.clone());
        }
    }

    /// Whether a machine is in a drained zone, by the registration of its last worker or
    /// else by the list of machines. One of unknown zone counts as not drained.
    pub(crate) fn is_in_drained_zone(&self, machine: &SmolStr) -> bool {
        if self.zone_drains.zones.is_empty() {
            return false;
        }
        let registered = self.zone_drains.machine_zones.get(machine);
        let listed = || self.machines.list.get(machine).and_then(|each| each.zone.as_ref());
        let zone = registered.or_else(listed);
        zone.is_some_and(|zone| self.zone_drains.zones.contains(zone))
    }

    /// Whether tasks of a worker could start again if they were stopped: it is not in a
    /// drained zone, or its pool has workers elsewhere.
    pub(crate) fn has_usable_alternative(&self, key: WorkerKey, now: Instant) -> bool {
        let worker = &self.workers[key];
        !worker.zone_drained || !self.usable_workers(&worker.incarnation.pool, now).is_empty()
    }

    /// Whether an attempt could start again if it was stopped.
    pub(crate) fn has_alternative(&self, attempt: AttemptKey, now: Instant) -> bool {
        self.has_usable_alternative(self.attempts[attempt].worker, now)
    }

    /// Whether an attempt is of a continuous task.
    pub(crate) fn is_continuous(&self, attempt: AttemptKey) -> bool {
        self.spec_of(self.attempts[attempt].task).is_some_and(|spec| spec.continuous)
    }

    /// Whether a worker is still slow after a cold restart. This matters only in zones
    /// that have been drained, where many workers come back cold at once.
    pub(crate) fn is_cold(&self, worker: &Worker, now: Instant) -> bool {
        self.cold_until(worker).is_some_and(|until| now < until)
    }

    /// Whether an attempt began on a worker that was cold then, so that its progress
    /// says nothing about the worker.
    pub(crate) fn began_cold(&self, attempt: &Attempt) -> bool {
        self.is_cold(&self.workers[attempt.worker], attempt.started)
    }

    /// Returns the time from which progress on a worker is expected: `since`, or the end
    /// of its cold time if that is later.
    pub(crate) fn warm_since(&self, worker: WorkerKey, since: Instant) -> Instant {
        self.cold_until(&self.workers[worker]).map_or(since, |until| since.max(until))
    }

    fn cold_until(&self, worker: &Worker) -> Option<Instant> {
        worker.cold_until.filter(|_| self.zone_drains.drained_before.contains(&worker.zone))
    }
}
