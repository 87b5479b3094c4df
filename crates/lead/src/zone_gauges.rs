//! Gauges of availability zones that are drained.

use prometheus::{Error, IntGaugeVec, Opts, Registry};
use vg_base::prelude::*;
use vg_flow::ZoneDrainStatus;

/// Kinds of tasks that are left in a drained zone.
const TASK_KINDS: [&str; 2] = ["continuous", "other"];

/// Gauges of the drained zones; clones share them. The number of labels is bounded by
/// the zones that operators drain at once.
#[derive(Debug, Clone)]
pub(crate) struct ZoneGauges {
    tasks: IntGaugeVec,
    drain_time: IntGaugeVec,
}

impl ZoneGauges {
    /// Creates and registers the gauges.
    pub(crate) fn new(registry: &Registry) -> Result<ZoneGauges, Error> {
        let help = "Tasks that are left in a drained zone, by kind.";
        let tasks = IntGaugeVec::new(Opts::new("vg_zone_drain_tasks", help), &["zone", "kind"])?;
        registry.register(Box::new(tasks.clone()))?;
        let help = "Seconds since the request to drain a zone was read.";
        let drain_time = IntGaugeVec::new(Opts::new("vg_zone_drain_seconds", help), &["zone"])?;
        registry.register(Box::new(drain_time.clone()))?;
        Ok(ZoneGauges { tasks, drain_time })
    }

    /// Sets the gauges of a drained zone that was requested `age` ago.
    pub(crate) fn set(&self, status: &ZoneDrainStatus, age: Duration) {
        let zone = status.zone.as_str();
        let tasks = [status.continuous, status.other];
        for (kind, tasks) in TASK_KINDS.into_iter().zip(tasks) {
            self.tasks.with_label_values(&[zone, kind]).set(tasks as i64);
        }
        self.drain_time.with_label_values(&[zone]).set(age.as_secs() as i64);
    }

    /// Removes the gauges of a zone whose drain has ended.
    pub(crate) fn remove(&self, zone: &ZoneId) {
        // Gauges that were never set can not be removed, which is no failure.
        for kind in TASK_KINDS {
            let _ = self.tasks.remove_label_values(&[zone.as_str(), kind]);
        }
        let _ = self.drain_time.remove_label_values(&[zone.as_str()]);
    }

    /// Removes the gauges of all zones.
    pub(crate) fn clear(&self) {
        self.tasks.reset();
        self.drain_time.reset();
    }
}
