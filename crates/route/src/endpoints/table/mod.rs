//! The table of one pool's instances.

mod list;
mod outlier;
mod pick;

use slotmap::SlotMap;
use vg_base::prelude::*;

use super::instance::{CONNECTIONS_MAX, Instance, SLOTS_MAX};
use super::{
    BusySlots, CallResult, EndpointInfo, EndpointKey, EndpointStats, Health, ListRevision,
    ListUpdate, ProbePolicy, Slot, SlotKey,
};

/// The instances of one pool, as managed by the pool's owner.
///
/// The table never gives more slots of an instance than may be in use at once,
/// including those that lost calls and calls of an earlier owner may still use.
#[derive(Debug, Default)]
pub struct Endpoints {
    revision: Option<ListRevision>,
    instances: SlotMap<EndpointKey, Instance>,
    calls: SlotMap<SlotKey, ActiveCall>,
    /// Time until which the calls of a lost owner may use any slot.
    busy_until: Option<Instant>,
    /// Sequence number of the last call.
    last_turn: u64,
}

/// A call that occupies a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct ActiveCall {
    endpoint: EndpointKey,
    probe: bool,
}

impl Endpoints {
    /// Makes an empty table.
    pub fn new() -> Endpoints {
        Endpoints::default()
    }

    /// Applies a host list, if it is newer than the current one.
    ///
    /// An endpoint that the list shows as leaving, or does not show, gets no new
    /// calls. Its running calls finish.
    pub fn apply(
        &mut self,
        revision: ListRevision,
        list: &[EndpointInfo],
        now: Instant,
    ) -> ListUpdate {
        if self.revision.is_some_and(|current| revision <= current) {
            return ListUpdate::Stale;
        }
        let first = self.revision.is_none();
        self.revision = Some(revision);
        let mut changes = Vec::new();
        self.mark_unlisted(list, &mut changes);
        for info in list {
            self.update_instance(info, first, now, &mut changes);
        }
        self.remove_unlisted();
        ListUpdate::Applied(changes)
    }

    /// Takes the pool over from a lost owner: every slot counts as in use until
    /// `until`, the deadline of that owner's last call, unless
    /// [`Endpoints::confirm_used`] shows that it is free.
    ///
    /// This also applies to endpoints that are listed later, because the lost owner
    /// may have had a newer host list.
    pub fn assume_busy(&mut self, until: Instant) {
        let until = self.busy_until.map_or(until, |earlier| earlier.max(until));
        self.busy_until = Some(until);
        for instance in self.instances.values_mut() {
            mark_busy(instance, SLOTS_MAX, until);
        }
    }

    /// Takes the pool over from an owner that exported the slots in use.
    pub fn import(&mut self, busy: &[BusySlots], now: Instant) {
        for each in busy {
            let found = self.instances.values_mut().find(|instance| instance.info.id == each.host);
            if let Some(instance) = found {
                let until = now + each.remaining;
                mark_busy(instance, each.slots.get().min(SLOTS_MAX), until);
            }
        }
    }

    /// Returns the slots in use, for the next owner. `remaining` is the longest time
    /// for which a call of this owner can still run.
    pub fn export(&self, remaining: Duration, now: Instant) -> Vec<BusySlots> {
        let used = self.instances.values().filter(|instance| instance.used() > 0);
        used.map(|instance| {
            let held_until = instance.lost_calls.iter().chain(&instance.inherited).max();
            let held_until =
                held_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            BusySlots {
                host: instance.info.id.clone(),
                slots: Slots(instance.used()),
                remaining: remaining.max(held_until),
            }
        })
        .collect()
    }

    /// Records proof that at most `used` slots of an endpoint are in use, by calls of
    /// any owner. Other slots that count as in use become free.
    pub fn confirm_used(&mut self, host: &HostId, used: Slots) {
        for instance in self.instances.values_mut().filter(|each| each.info.id == *host) {
            let left = used.get().saturating_sub(instance.running) as usize;
            while instance.lost_calls.len() + instance.inherited.len() > left {
                instance.free_soonest();
            }
        }
    }

    /// Frees the inherited slots that the calls of an earlier owner no longer use,
    /// according to `busy`, which that owner has just reported.
    pub fn update_inherited(&mut self, busy: &[BusySlots]) {
        for instance in self.instances.values_mut() {
            let reported = busy.iter().filter(|each| each.host == instance.info.id);
            let used: u32 = reported.map(|each| each.slots.get()).sum();
            instance.inherited.truncate(used as usize);
        }
    }

    /// Returns a free slot of the least loaded endpoint, or `None` if there is none.
    /// An endpoint in `zone` is preferred to another one with a slightly lower load.
    ///
    /// An endpoint whose probe is due is chosen first. It gets one call at a time.
    pub fn acquire(
        &mut self,
        now: Instant,
        zone: Option<&ZoneId>,
        probe_policy: ProbePolicy,
    ) -> Option<Slot> {
        self.expire(now);
        if let Some(endpoint) = self.due_probe(now, probe_policy) {
            return self.occupy(endpoint, true);
        }
        let endpoint = self.least_loaded(now, zone)?;
        self.occupy(endpoint, false)
    }

    /// Releases a slot and records the result of its call. Returns the endpoint's
    /// health if a healthy endpoint was ejected or an ejected one was restored. A
    /// failed probe, which only extends the ejection, returns `None`.
    pub fn release(&mut self, slot: Slot, result: CallResult, now: Instant) -> Option<Health> {
        let call = self.calls.remove(slot.key)?;
        let instance = self.instances.get_mut(call.endpoint)?;
        instance.running -= 1;
        if let CallResult::Lost { until } = result {
            instance.lost_calls.push(until);
        }
        instance.expire(now);
        let changed = match result {
            CallResult::Unused => None,
            CallResult::Answered => self.record_result(call, false, now),
            CallResult::Failed | CallResult::NotReached | CallResult::Lost { .. } => {
                self.record_result(call, true, now)
            }
        };
        self.remove_unlisted();
        changed
    }

    /// Counts a new connection to an endpoint. Returns false if the endpoint has as
    /// many connections as it may have.
    pub fn connect(&mut self, endpoint: EndpointKey) -> bool {
        match self.instances.get_mut(endpoint) {
            Some(instance) if instance.connections < CONNECTIONS_MAX => {
                instance.connections += 1;
                true
            }
            _ => false,
        }
    }

    /// Records that a connection to an endpoint was closed.
    pub fn disconnect(&mut self, endpoint: EndpointKey) {
        if let Some(instance) = self.instances.get_mut(endpoint) {
            instance.connections = instance.connections.saturating_sub(1);
        }
        self.remove_unlisted();
    }

    /// Frees the slots of lost calls and of an earlier owner whose time has passed.
    pub fn expire(&mut self, now: Instant) {
        self.instances.values_mut().for_each(|instance| instance.expire(now));
        self.busy_until = self.busy_until.filter(|until| *until > now);
        self.remove_unlisted();
    }

    /// Returns when a slot next becomes free without a release, or a probe becomes
    /// due.
    pub fn next_change(&self) -> Option<Instant> {
        let first_free =
            |each: &Instance| each.lost_calls.iter().chain(&each.inherited).min().copied();
        let free_times = self.instances.values().filter_map(first_free);
        let probes = self.instances.values().filter_map(|each| match each.record.health {
            Health::Ejected { until } if each.is_open() => Some(until),
            _ => None,
        });
        free_times.chain(probes).min()
    }

    /// Returns the number of slots that may be in use at once now, without those of
    /// ejected and leaving endpoints.
    pub fn capacity(&self, now: Instant) -> Slots {
        let open = self.instances.values().filter(|each| each.is_open());
        let healthy = open.filter(|each| !each.record.is_ejected());
        Slots(healthy.map(|each| each.allowed_slots(now)).sum())
    }

    /// Returns the number of free slots.
    pub fn free(&self, now: Instant) -> Slots {
        let open = self.instances.values().filter(|each| each.has_slot(now));
        Slots(open.map(|each| each.allowed_slots(now) - each.used()).sum())
    }

    /// Returns the state of each endpoint.
    pub fn stats(&self) -> Vec<EndpointStats> {
        let instances = self.instances.values();
        instances
            .map(|each| EndpointStats {
                host: each.info.id.clone(),
                zone: each.info.zone.clone(),
                used: Slots(each.used()),
                connections: each.connections,
                leaving: !each.is_open(),
                health: each.record.health,
                failure_rate: each.record.failure_rate,
            })
            .collect()
    }

    /// Removes the instances that the list does not show and that have no slots in
    /// use and no connections.
    pub(super) fn remove_unlisted(&mut self) {
        self.instances.retain(|_, each| each.listed || each.used() > 0 || each.connections > 0);
    }
}

/// Marks slots of an instance as in use until `until`, so that at least `count` slots
/// are in use, among them those of running calls. Slots of lost calls and of an
/// earlier owner stay in use until `until` at least.
pub(super) fn mark_busy(instance: &mut Instance, count: u32, until: Instant) {
    let added = count.saturating_sub(instance.used());
    // `used` counts slots whose time has passed but that were not removed yet, so
    // they have to be in use again.
    let held = instance.lost_calls.iter_mut().chain(&mut instance.inherited);
    held.for_each(|each| *each = (*each).max(until));
    instance.inherited.extend(std::iter::repeat_n(until, added as usize));
}
