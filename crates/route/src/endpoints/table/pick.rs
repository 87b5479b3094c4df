//! Which endpoint gets the next call.

use vg_base::prelude::*;

use super::{Endpoints, Use};
use crate::endpoints::instance::Instance;
use crate::endpoints::{EndpointInfo, EndpointKey, ProbePolicy, Slot};

/// How much less loaded an endpoint in another zone must be to be preferred,
/// in parts of what an endpoint carries.
const ZONE_PREFERENCE: f64 = 0.26;

impl Endpoints {
    pub(super) fn take(&mut self, endpoint: EndpointKey, probe: bool) -> Option<Slot> {
        let instance = self.instances.get_mut(endpoint)?;
        self.turn += 1;
        instance.turn = self.turn;
        instance.running += 1;
        let key = self.uses.insert(Use { endpoint, probe });
        let EndpointInfo { id, addr, .. } = &instance.info;
        Some(Slot { key, endpoint, host: id.clone(), addr: *addr })
    }

    pub(super) fn least_loaded(&self, now: Instant, zone: Option<&ZoneId>) -> Option<EndpointKey> {
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

    pub(super) fn probe(&self, now: Instant, probing: ProbePolicy) -> Option<EndpointKey> {
        let due = |each: &Instance| {
            each.is_open() && each.used() == 0 && each.record.probe_due(now, probing)
        };
        self.instances.iter().find(|(_, each)| due(each)).map(|(key, _)| key)
    }
}
