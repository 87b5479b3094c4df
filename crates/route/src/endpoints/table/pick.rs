//! Chooses the endpoint for a call.

use vg_base::prelude::*;

use super::{ActiveCall, Endpoints};
use crate::endpoints::instance::Instance;
use crate::endpoints::{EndpointInfo, EndpointKey, ProbePolicy, Slot};

/// How much lower the load of an endpoint in another zone must be for it to be
/// chosen, as a fraction of an endpoint's allowed slots.
const ZONE_PREFERENCE: f64 = 0.26;

impl Endpoints {
    /// Occupies a slot of an endpoint for a call, which is a probe if `probe`.
    pub(super) fn occupy(&mut self, endpoint: EndpointKey, probe: bool) -> Option<Slot> {
        let instance = self.instances.get_mut(endpoint)?;
        self.last_turn += 1;
        instance.last_turn = self.last_turn;
        instance.running += 1;
        let key = self.calls.insert(ActiveCall { endpoint, probe });
        let EndpointInfo { id, addr, .. } = &instance.info;
        Some(Slot { key, endpoint, host: id.clone(), addr: *addr })
    }

    /// Returns the least loaded endpoint with a free slot, with a preference for those
    /// in `zone`.
    pub(super) fn least_loaded(&self, now: Instant, zone: Option<&ZoneId>) -> Option<EndpointKey> {
        let open = self.instances.iter().filter(|(_, each)| each.has_slot(now));
        let cost = |each: &Instance| {
            let other_zone = zone.is_some_and(|zone| each.info.zone != *zone);
            each.load(now) + if other_zone { ZONE_PREFERENCE } else { 0.0 }
        };
        let least = open.min_by(|(_, a), (_, b)| {
            // Endpoints with equal loads get calls in turn.
            cost(a).total_cmp(&cost(b)).then(a.last_turn.cmp(&b.last_turn))
        });
        least.map(|(key, _)| key)
    }

    /// Returns an endpoint without used slots whose probe is due.
    pub(super) fn due_probe(&self, now: Instant, probe_policy: ProbePolicy) -> Option<EndpointKey> {
        let due = |each: &Instance| {
            each.is_open() && each.used() == 0 && each.record.probe_due(now, probe_policy)
        };
        self.instances.iter().find(|(_, each)| due(each)).map(|(key, _)| key)
    }
}
