//! The table of a pool's instances.

mod judge;
mod list;
mod pick;

use slotmap::SlotMap;
use vg_base::prelude::*;

use super::instance::{CONNECTIONS, Instance, SLOTS};
use super::{
    BusySlots, CallResult, EndpointInfo, EndpointKey, EndpointStats, Health, ListRevision,
    ListUpdate, ProbePolicy, Slot, SlotKey,
};

/// The instances of one pool, at the pool's owner.
#[derive(Debug, Default)]
pub struct Endpoints {
    revision: Option<ListRevision>,
    instances: SlotMap<EndpointKey, Instance>,
    uses: SlotMap<SlotKey, Use>,
    adopted: Option<Instant>,
    turn: u64,
}

/// One call that runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Use {
    endpoint: EndpointKey,
    probe: bool,
}

impl Endpoints {
    /// Makes an empty table.
    pub fn new() -> Endpoints {
        Endpoints::default()
    }

    /// Takes in a host list, if it is newer than the one in use.
    ///
    /// An endpoint that the list shows as leaving, or not at all, gets nothing
    /// new from here on; what runs there ends.
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
        self.unlist(list, &mut changes);
        for info in list {
            self.list(info, first, now, &mut changes);
        }
        self.forget_unlisted();
        ListUpdate::Applied(changes)
    }

    /// Takes over from an owner that was lost: every slot counts as in use
    /// until `until`, the deadline of its last call, unless it is proved free.
    ///
    /// Holds for endpoints that are listed later, too: the lost owner may have
    /// known a newer list.
    pub fn assume_busy(&mut self, until: Instant) {
        let until = self.adopted.map_or(until, |earlier| earlier.max(until));
        self.adopted = Some(until);
        for instance in self.instances.values_mut() {
            fill(instance, SLOTS, until);
        }
    }

    /// Takes over from an owner that told which slots are in use.
    pub fn import(&mut self, busy: &[BusySlots], now: Instant) {
        for each in busy {
            let found = self.instances.values_mut().find(|instance| instance.info.id == each.host);
            if let Some(instance) = found {
                let until = now + each.remaining;
                fill(instance, each.slots.get().min(SLOTS), until);
            }
        }
    }

    /// Returns the slots in use, for the next owner. `remaining` is the longest
    /// time that a call of ours can still run.
    pub fn export(&self, remaining: Duration, now: Instant) -> Vec<BusySlots> {
        let used = self.instances.values().filter(|instance| instance.used() > 0);
        used.map(|instance| {
            let lingering = instance.lingering.iter().chain(&instance.earlier).max();
            let lingering =
                lingering.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            BusySlots {
                host: instance.info.id.clone(),
                slots: Slots(instance.used()),
                remaining: remaining.max(lingering),
            }
        })
        .collect()
    }

    /// Notes proof that at most `used` slots of an endpoint are in use in all.
    pub fn confirm_used(&mut self, host: &HostId, used: Slots) {
        for instance in self.instances.values_mut().filter(|each| each.info.id == *host) {
            let left = used.get().saturating_sub(instance.running) as usize;
            while instance.lingering.len() + instance.earlier.len() > left {
                instance.drop_soonest();
            }
        }
    }

    /// Notes what an earlier owner's calls still use, as it told just now.
    pub fn update_inherited(&mut self, busy: &[BusySlots]) {
        for instance in self.instances.values_mut() {
            let told = busy.iter().filter(|each| each.host == instance.info.id);
            let used: u32 = told.map(|each| each.slots.get()).sum();
            instance.earlier.truncate(used as usize);
        }
    }

    /// Gives a free slot of the least loaded endpoint, one in `zone` rather
    /// than another that is hardly less loaded.
    ///
    /// An endpoint whose probe is due goes first, one call at a time.
    pub fn acquire(
        &mut self,
        now: Instant,
        zone: Option<&ZoneId>,
        probing: ProbePolicy,
    ) -> Option<Slot> {
        self.expire(now);
        if let Some(endpoint) = self.probe(now, probing) {
            return self.take(endpoint, true);
        }
        let endpoint = self.least_loaded(now, zone)?;
        self.take(endpoint, false)
    }

    /// Ends the use of a slot and takes in how its call went. Returns whether
    /// the endpoint was ejected or restored by it.
    pub fn release(&mut self, slot: Slot, result: CallResult, now: Instant) -> Option<Health> {
        let used = self.uses.remove(slot.key)?;
        let instance = self.instances.get_mut(used.endpoint)?;
        instance.running -= 1;
        if let CallResult::Lost { until } = result {
            instance.lingering.push(until);
        }
        instance.expire(now);
        let changed = match result {
            CallResult::Unused => None,
            CallResult::Answered => self.judge(used, false, now),
            CallResult::Failed | CallResult::NotReached | CallResult::Lost { .. } => {
                self.judge(used, true, now)
            }
        };
        self.forget_unlisted();
        changed
    }

    /// Opens a connection to an endpoint, if it may have one more.
    pub fn connect(&mut self, endpoint: EndpointKey) -> bool {
        match self.instances.get_mut(endpoint) {
            Some(instance) if instance.connections < CONNECTIONS => {
                instance.connections += 1;
                true
            }
            _ => false,
        }
    }

    /// Notes that a connection to an endpoint was closed.
    pub fn disconnect(&mut self, endpoint: EndpointKey) {
        if let Some(instance) = self.instances.get_mut(endpoint) {
            instance.connections = instance.connections.saturating_sub(1);
        }
        self.forget_unlisted();
    }

    /// Frees slots of lost calls whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.instances.values_mut().for_each(|instance| instance.expire(now));
        self.adopted = self.adopted.filter(|until| *until > now);
        self.forget_unlisted();
    }

    /// Returns when a slot comes free without a release, or a probe is due.
    pub fn next_change(&self) -> Option<Instant> {
        let held = |each: &Instance| each.lingering.iter().chain(&each.earlier).min().copied();
        let lingering = self.instances.values().filter_map(held);
        let probes = self.instances.values().filter_map(|each| match each.record.health {
            Health::Ejected { until } if each.is_open() => Some(until),
            _ => None,
        });
        lingering.chain(probes).min()
    }

    /// Returns the slots that may be in use at once now, those of ejected and
    /// leaving endpoints left out.
    pub fn capacity(&self, now: Instant) -> Slots {
        let open = self.instances.values().filter(|each| each.is_open());
        let good = open.filter(|each| !each.record.is_ejected());
        Slots(good.map(|each| each.allowed(now)).sum())
    }

    /// Returns the free slots.
    pub fn free(&self, now: Instant) -> Slots {
        let open = self.instances.values().filter(|each| each.has_slot(now));
        Slots(open.map(|each| each.allowed(now) - each.used()).sum())
    }

    /// Returns each endpoint's state.
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
                failures: each.record.rate,
            })
            .collect()
    }

    pub(super) fn forget_unlisted(&mut self) {
        self.instances.retain(|_, each| each.listed || each.used() > 0 || each.connections > 0);
    }
}

/// Marks slots as in use until `until`, up to `most` in all.
pub(super) fn fill(instance: &mut Instance, most: u32, until: Instant) {
    let room = most.saturating_sub(instance.used());
    // Those whose time is over have not been removed yet: they count again.
    let held = instance.lingering.iter_mut().chain(&mut instance.earlier);
    held.for_each(|each| *each = (*each).max(until));
    instance.earlier.extend(std::iter::repeat_n(until, room as usize));
}
