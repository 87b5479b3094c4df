//! Takes hosts on their way one state further.

use vg_base::prelude::*;

use super::{Planner, Scene};
use crate::faults::FleetFaults;
use crate::{Change, DrainPurpose, HostRecord, HostReport, HostState, Records, WallTime};

impl<F: FleetFaults> Planner<F> {
    pub(super) fn advance(&mut self, scene: &Scene<'_, F>, records: &mut Records, now: WallTime) {
        // Only what is durable may move on: an order must never be given on a
        // state that the store may not have.
        let known: Vec<HostRecord> = records.durable().values().cloned().collect();
        for record in known {
            let unchanged = records.hosts().get(&record.host) == Some(&record);
            let change = unchanged.then(|| self.next_change(scene, &record, now)).flatten();
            let Some(change) = change else { continue };
            let activated = change == Change::Activate;
            let staged = self.stage(records, &record.host, change, now);
            if staged && activated {
                self.measure(&record.host, now);
            }
        }
    }

    fn next_change(
        &self,
        scene: &Scene<'_, F>,
        record: &HostRecord,
        now: WallTime,
    ) -> Option<Change> {
        let report = scene.reports.get(&record.host).filter(|report| report.up);
        let late = now.since(record.since) >= self.limits.reboot_timeout;
        match (&record.state, report) {
            (HostState::Draining(_), Some(report)) => {
                is_empty::<F>(record, report).then_some(Change::MarkEmpty)
            }
            (HostState::Empty(DrainPurpose::Maintain), Some(report)) => {
                Some(Change::Reboot(report.boot))
            }
            (HostState::Empty(_), Some(_)) => Some(Change::Move),
            (HostState::Rebooting, Some(report)) if report.boot != record.boot => {
                Some(Change::Probe)
            }
            (HostState::Moving, Some(report)) if report.pool.as_ref() == Some(&record.pool) => {
                Some(Change::Probe)
            }
            (HostState::Rebooting | HostState::Moving, _) if late => Some(Change::MarkLost),
            (HostState::Probation, Some(report))
                if report.verified_version == Some(record.version) =>
            {
                Some(Change::Activate)
            }
            _ => None,
        }
    }

    fn measure(&mut self, host: &HostId, now: WallTime) {
        if let Some(drained) = self.drained.remove(host) {
            self.rates.returned(now.since(drained));
        }
    }
}

fn is_empty<F: FleetFaults>(record: &HostRecord, report: &HostReport) -> bool {
    let closed = F::EMPTY_BEFORE_CLOSE
        || report.closed_version == Some(record.version)
        || (F::IGNORE_VERSION && report.closed_version.is_some());
    closed && report.running == 0
}
