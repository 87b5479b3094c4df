//! Which endpoints are ejected and restored.

use vg_base::prelude::*;

use super::{Endpoints, Use};
use crate::endpoints::{EndpointKey, Health};

/// Most endpoints of a pool, in percent, that are out of use after failures.
const EJECTED_MAX_PERCENT: usize = 34;

impl Endpoints {
    /// Takes in how a call went. Returns the endpoint's health if it changed.
    pub(super) fn judge(&mut self, used: Use, failed: bool, now: Instant) -> Option<Health> {
        let may_eject = self.may_eject();
        let peers = self.failure_rate_of_peers(used.endpoint);
        let instance = self.instances.get_mut(used.endpoint)?;
        if used.probe && instance.record.is_ejected() {
            let restored = instance.record.probed(failed, now);
            if restored {
                instance.since = Some(now);
            }
            return restored.then_some(Health::Healthy);
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
}
