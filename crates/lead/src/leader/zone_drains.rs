//! Passes the drained zones to the scheduler, and tells operators how far the drains are.

use std::collections::BTreeMap;
use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::ZoneDrainStatus;
use vg_store::Store;

use super::Leader;
use crate::Platform;

/// Interval at which what is left in drained zones is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the leader lists the requests beside the watch. A watch whose
/// connection is stuck fails after 3.2 s, and a start command is valid for 1.5 s more:
/// together that is about as long as the time within which starts have to end.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// Time after a takeover in which workers register before a drain is announced.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);

/// What operators were told.
#[derive(Debug, Default)]
struct Announced {
    /// Zones whose drain was announced, and whether they were reported as empty.
    zones: BTreeMap<ZoneId, bool>,
    /// Whether they were told that all workers are in drained zones.
    whole_fleet: bool,
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Passes the drained zones that the host knows to the scheduler.
    pub(super) fn apply_drained_zones(&self) {
        let zones = self.host.inner.drained_zones.borrow().zones();
        let now = self.host.inner.clock.now();
        self.scheduler().set_drained_zones(zones, now);
    }

    /// Passes each change of the drained zones to the scheduler, and reports what is
    /// left in them.
    pub(super) async fn follow_drained_zones(self: Arc<Self>) {
        let started = self.host.inner.clock.now();
        let mut drained = self.host.inner.drained_zones.subscribe();
        let mut announced = Announced::default();
        // They may have changed since recovery.
        let mut changed = true;
        loop {
            if changed {
                self.apply_drained_zones();
                self.wake.notify_one();
            }
            let led_for = self.host.inner.clock.now().saturating_duration_since(started);
            if led_for >= REGISTRATION_TIME || self.scheduler().counts().workers > 0 {
                self.report_drains(&mut announced);
            }
            changed = match tokio::time::timeout(REPORT_INTERVAL, drained.changed()).await {
                Ok(Ok(())) => true,
                Ok(Err(_)) => return,
                Err(_) => false,
            };
        }
    }

    /// Lists the requests at an interval, because a watch can be stuck.
    pub(super) async fn list_drains(self: Arc<Self>) {
        let prefix = self.host.inner.platform.layout().drain_prefix.clone();
        loop {
            tokio::time::sleep(LIST_INTERVAL).await;
            match self.host.store().range(&prefix).await {
                Ok(listing) => self.host.apply_drain_listing(&listing),
                Err(error) => {
                    log::debug!(target: "store", "cannot list `{prefix}`: {error}");
                }
            }
        }
    }

    /// Records what has changed since the last report, and sets the gauges.
    fn report_drains(&self, announced: &mut Announced) {
        let (statuses, whole_fleet) = {
            let scheduler = self.scheduler();
            (scheduler.zone_drain_statuses(), scheduler.is_fleet_drained())
        };
        for status in &statuses {
            self.announce(status, announced);
        }
        let is_drained = |zone: &ZoneId| statuses.iter().any(|status| status.zone == *zone);
        let ended: Vec<_> =
            announced.zones.keys().filter(|zone| !is_drained(zone)).cloned().collect();
        for zone in ended {
            announced.zones.remove(&zone);
            self.host.inner.metrics.zones.remove(&zone);
            self.host.record(Code::ZoneDrainEnded, [Field::new("zone", zone)]);
        }
        if whole_fleet && !announced.whole_fleet {
            log::warn!(target: "drain", "all workers are in drained zones: nothing starts");
        }
        announced.whole_fleet = whole_fleet;
        self.set_drain_gauges(&statuses);
    }

    /// Records the request for a zone once, and once that nothing runs there any more.
    fn announce(&self, status: &ZoneDrainStatus, announced: &mut Announced) {
        let zone = &status.zone;
        if !announced.zones.contains_key(zone) {
            // A zone without workers is not reported as empty.
            let is_void = status.workers == 0 && status.is_empty();
            announced.zones.insert(zone.clone(), is_void);
            let fields = [
                Field::new("zone", zone),
                Field::new("workers", status.workers),
                Field::new("continuous", status.continuous),
                Field::new("other", status.other),
            ];
            self.host.record(Code::ZoneDrainRequested, fields);
            if status.workers == 0 {
                log::warn!(target: "drain", "zone {zone} is drained and has no workers");
            }
        }
        let was_empty = announced.zones.insert(zone.clone(), status.is_empty());
        if status.is_empty() && was_empty == Some(false) {
            self.host.record(Code::ZoneDrained, [Field::new("zone", zone)]);
        }
    }

    fn set_drain_gauges(&self, statuses: &[ZoneDrainStatus]) {
        let now = self.host.inner.clock.now();
        let drained = self.host.inner.drained_zones.borrow();
        let metrics = &self.host.inner.metrics;
        for status in statuses {
            let since = drained.requests().get(&status.zone).copied().unwrap_or(now);
            metrics.zones.set(status, now.saturating_duration_since(since));
        }
    }
}
