//! The table of a pool's instances.

use slotmap::SlotMap;
use vg_base::prelude::*;

use super::instance::{CONNECTIONS, Instance, SLOTS};
use super::{
    Applied, Busy, CallResult, Change, EndpointInfo, EndpointKey, EndpointStats, Health,
    ListRevision, Probing, Slot, SlotKey,
};

/// Most endpoints of a pool, in percent, that are out of use after failures.
const EJECTED_MAX_PERCENT: usize = 34;
/// How much less loaded an endpoint in another zone must be to be preferred,
/// in parts of what an endpoint carries.
const ZONE_PREFERENCE: f64 = 0.26;

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
struct Use {
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
    ) -> Applied {
        if self.revision.is_some_and(|current| revision <= current) {
            return Applied::Stale;
        }
        let first = self.revision.is_none();
        self.revision = Some(revision);
        let mut changes = Vec::new();
        self.unlist(list, &mut changes);
        for info in list {
            self.list(info, first, now, &mut changes);
        }
        self.forget_unlisted();
        Applied::Current(changes)
    }

    /// Takes over from an owner that was lost: every slot counts as in use
    /// until `until`, the deadline of its last call, unless it is proved free.
    ///
    /// Holds for endpoints that are listed later, too: the lost owner may have
    /// known a newer list.
    pub fn adopt(&mut self, until: Instant) {
        let until = self.adopted.map_or(until, |earlier| earlier.max(until));
        self.adopted = Some(until);
        for instance in self.instances.values_mut() {
            fill(instance, SLOTS, until);
        }
    }

    /// Takes over from an owner that told which slots are in use.
    pub fn import(&mut self, busy: &[Busy], now: Instant) {
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
    pub fn export(&self, remaining: Duration, now: Instant) -> Vec<Busy> {
        let used = self.instances.values().filter(|instance| instance.used() > 0);
        used.map(|instance| {
            let lingering = instance.lingering.iter().max();
            let lingering =
                lingering.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            Busy {
                host: instance.info.id.clone(),
                slots: Slots(instance.used()),
                remaining: remaining.max(lingering),
            }
        })
        .collect()
    }

    /// Notes proof that at most `used` slots of an endpoint are in use in all.
    pub fn prove(&mut self, host: &HostId, used: Slots) {
        for instance in self.instances.values_mut().filter(|each| each.info.id == *host) {
            let left = used.get().saturating_sub(instance.running) as usize;
            instance.lingering.sort_unstable();
            let surplus = instance.lingering.len().saturating_sub(left);
            instance.lingering.drain(..surplus);
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
        probing: Probing,
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
        let lingering = self.instances.values().flat_map(|each| each.lingering.iter().copied());
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

    fn take(&mut self, endpoint: EndpointKey, probe: bool) -> Option<Slot> {
        let instance = self.instances.get_mut(endpoint)?;
        self.turn += 1;
        instance.turn = self.turn;
        instance.running += 1;
        let key = self.uses.insert(Use { endpoint, probe });
        let EndpointInfo { id, addr, .. } = &instance.info;
        Some(Slot { key, endpoint, host: id.clone(), addr: *addr })
    }

    fn least_loaded(&self, now: Instant, zone: Option<&ZoneId>) -> Option<EndpointKey> {
        let open = self.instances.iter().filter(|(_, each)| each.has_slot(now));
        let cost = |each: &Instance| {
            let away = zone.is_some_and(|zone| each.info.zone != *zone);
            each.load(now) + if away { ZONE_PREFERENCE } else { 0.0 }
        };
        let least = open.min_by(|(_, a), (_, b)| {
            // Equal loads take turns.
            cost(a).total_cmp(&cost(b)).then(a.turn.cmp(&b.turn))
        });
        least.map(|(key, _)| key)
    }

    fn probe(&self, now: Instant, probing: Probing) -> Option<EndpointKey> {
        let due = |each: &Instance| {
            each.is_open() && each.used() == 0 && each.record.probe_due(now, probing)
        };
        self.instances.iter().find(|(_, each)| due(each)).map(|(key, _)| key)
    }

    fn judge(&mut self, used: Use, failed: bool, now: Instant) -> Option<Health> {
        let may_eject = self.may_eject();
        let peers = self.failure_rate_of_peers(used.endpoint);
        let instance = self.instances.get_mut(used.endpoint)?;
        if used.probe && instance.record.is_ejected() {
            let restored = instance.record.probed(failed, now);
            if restored {
                instance.since = Some(now);
            }
            return restored.then_some(Health::Good);
        }
        instance.record.note(failed);
        let eject = may_eject && !instance.record.is_ejected() && instance.record.is_suspect(peers);
        if !eject {
            return None;
        }
        instance.record.eject(now);
        Some(instance.record.health)
    }

    /// Whether one more endpoint may be ejected.
    fn may_eject(&self) -> bool {
        let open = self.instances.values().filter(|each| each.is_open());
        let ejected = open.clone().filter(|each| each.record.is_ejected()).count();
        (ejected + 1) * 100 <= open.count() * EJECTED_MAX_PERCENT
    }

    fn failure_rate_of_peers(&self, endpoint: EndpointKey) -> f64 {
        let peers = self.instances.iter().filter(|(key, each)| *key != endpoint && each.is_open());
        let peers = peers.filter(|(_, each)| !each.record.is_ejected());
        let count = peers.clone().count().max(1) as f64;
        peers.map(|(_, each)| each.record.rate).sum::<f64>() / count
    }

    fn unlist(&mut self, list: &[EndpointInfo], changes: &mut Vec<Change>) {
        for instance in self.instances.values_mut().filter(|each| each.listed) {
            if !list.iter().any(|info| is_same(info, &instance.info)) {
                instance.listed = false;
                changes.push(Change::Gone(instance.info.id.clone()));
            }
        }
    }

    fn list(&mut self, info: &EndpointInfo, first: bool, now: Instant, changes: &mut Vec<Change>) {
        let known = self.instances.values_mut().find(|each| is_same(info, &each.info));
        if let Some(instance) = known {
            let was_open = instance.is_open();
            instance.listed = true;
            instance.info = info.clone();
            match (was_open, instance.is_open()) {
                (true, false) => changes.push(Change::Leaving(info.id.clone())),
                (false, true) => {
                    instance.since = Some(now);
                    changes.push(Change::Returned(info.id.clone()));
                }
                _ => {}
            }
            return;
        }
        let mut instance = Instance::new(info.clone(), (!first).then_some(now));
        if let Some(until) = self.adopted.filter(|until| *until > now) {
            fill(&mut instance, SLOTS, until);
        }
        self.instances.insert(instance);
        changes.push(Change::Joined(info.id.clone()));
    }

    fn forget_unlisted(&mut self) {
        self.instances.retain(|_, each| each.listed || each.used() > 0 || each.connections > 0);
    }
}

/// A host with another address is another instance.
fn is_same(a: &EndpointInfo, b: &EndpointInfo) -> bool {
    a.id == b.id && a.addr == b.addr
}

/// Marks slots as in use until `until`, up to `most` in all.
fn fill(instance: &mut Instance, most: u32, until: Instant) {
    let room = most.saturating_sub(instance.used());
    instance.lingering.iter_mut().for_each(|each| *each = (*each).max(until));
    instance.lingering.extend(std::iter::repeat_n(until, room as usize));
}
