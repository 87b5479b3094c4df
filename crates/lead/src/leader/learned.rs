//! Reports to operators what the scheduler has learned about workers and durations.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{HealthChange, WorkerEvidence};

use super::Leader;
use crate::Platform;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Records changes of the workers' health and sets the gauges, without end.
    pub(super) async fn report_learned(self: Arc<Self>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let now = self.host.inner.clock.now();
            let (changes, workers, durations) = {
                let mut scheduler = self.scheduler();
                let changes = scheduler.take_health_changes();
                (changes, scheduler.worst_workers(now), scheduler.duration_quantiles())
            };
            changes.into_iter().for_each(|change| self.record_health_change(change));
            let gauges = &self.host.inner.metrics.learned;
            gauges.set_workers(&workers);
            gauges.set_durations(&durations);
        }
    }

    fn record_health_change(&self, change: HealthChange) {
        match change {
            HealthChange::Quarantined { worker, evidence } => {
                self.host.record(Code::WorkerDoubtful, evidence_fields(&worker, &evidence));
            }
            HealthChange::Returned { worker, evidence } => {
                self.host.record(Code::WorkerTrusted, evidence_fields(&worker, &evidence));
            }
            HealthChange::RackFault { rack, workers } => {
                let names: Vec<_> = workers.iter().map(HostId::as_str).collect();
                let fields = [Field::new("rack", rack), Field::new("workers", names.join(","))];
                self.host.record(Code::RackDoubtful, fields);
            }
        }
    }
}

fn evidence_fields(worker: &HostId, evidence: &WorkerEvidence) -> [Field; 4] {
    [
        Field::new("worker", worker),
        Field::new("failure-rate", format_args!("{:.2}", evidence.failure_rate)),
        Field::new("attempts", evidence.attempts),
        Field::new("speed", format_args!("{:.2}", evidence.speed)),
    ]
}
