//! Ejects and restores endpoints by the results of their calls.

use vg_base::prelude::*;

use super::{ActiveCall, Endpoints};
use crate::endpoints::{EndpointKey, Health};

/// Largest percentage of a pool's endpoints that is ejected at once. It is just
/// above a third, so that one of three endpoints may be ejected.
const EJECTED_MAX_PERCENT: usize = 34;

impl Endpoints {
    /// Records the result of a call. Returns the endpoint's health if a healthy
    /// endpoint was ejected or an ejected one was restored.
    pub(super) fn record_result(
        &mut self,
        call: ActiveCall,
        failed: bool,
        now: Instant,
    ) -> Option<Health> {
        let may_eject = self.may_eject();
        let peers = self.peer_failure_rate(call.endpoint);
        let instance = self.instances.get_mut(call.endpoint)?;
        if call.probe && instance.record.is_ejected() {
            let restored = instance.record.record_probe(failed, now);
            if restored {
                instance.serving_since = Some(now);
            }
            return restored.then_some(Health::Healthy);
        }
        instance.record.record_result(failed);
        let eject =
            may_eject && !instance.record.is_ejected() && instance.record.should_eject(peers);
        if !eject {
            return None;
        }
        instance.record.eject(now);
        Some(instance.record.health)
    }

    /// Whether one more endpoint may be ejected without exceeding
    /// [`EJECTED_MAX_PERCENT`].
    fn may_eject(&self) -> bool {
        let open = self.instances.values().filter(|each| each.is_open());
        let ejected = open.clone().filter(|each| each.record.is_ejected()).count();
        (ejected + 1) * 100 <= open.count() * EJECTED_MAX_PERCENT
    }

    /// Returns the mean failure rate of the other endpoints that get calls.
    fn peer_failure_rate(&self, endpoint: EndpointKey) -> f64 {
        let peers = self.instances.iter().filter(|(key, each)| *key != endpoint && each.is_open());
        let peers = peers.filter(|(_, each)| !each.record.is_ejected());
        let count = peers.clone().count().max(1) as f64;
        peers.map(|(_, each)| each.record.failure_rate).sum::<f64>() / count
    }
}
