//! Advances hosts that are being maintained or moved to their next state.

use vg_base::prelude::*;

use super::{Planner, Snapshot};
use crate::faults::FleetFaults;
use crate::{Change, DrainPurpose, HostRecord, HostReport, HostState, Records, WallTime};

impl<F: FleetFaults> Planner<F> {
    /// Stages the next change of each host whose report shows that the current
    /// state is complete, or whose reboot or set-up has timed out.
    pub(super) fn advance_hosts(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        // Only durable records are advanced, because a command must never be based
        // on a state that may not be in the store.
        let durable: Vec<HostRecord> = records.durable().values().cloned().collect();
        for record in durable {
            let unchanged = records.hosts().get(&record.host) == Some(&record);
            let change = unchanged.then(|| self.next_change(snapshot, &record, now)).flatten();
            let Some(change) = change else { continue };
            let activated = change == Change::Activate;
            let staged = self.stage(records, &record.host, change, now);
            if staged && activated {
                self.record_time_away(&record.host, now);
            }
        }
    }

    /// Returns the change that follows from the report about a host or from the
    /// time-out of its reboot or set-up, if any.
    fn next_change(
        &self,
        snapshot: &Snapshot<'_, F>,
        record: &HostRecord,
        now: WallTime,
    ) -> Option<Change> {
        let report = snapshot.reports.get(&record.host).filter(|report| report.up);
        let timed_out = now.since(record.since) >= self.limits.reboot_timeout;
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
            (HostState::Rebooting | HostState::Moving, _) if timed_out => Some(Change::MarkLost),
            (HostState::Probation, Some(report))
                if report.verified_version == Some(record.version) =>
            {
                Some(Change::Activate)
            }
            _ => None,
        }
    }

    /// Measures the time that a host was away for maintenance or a move, if this
    /// planner began its drain.
    fn record_time_away(&mut self, host: &HostId, now: WallTime) {
        if let Some(drained_at) = self.drained_at.remove(host) {
            self.measurements.record_away(now.since(drained_at));
        }
    }
}

/// Returns whether a draining host is empty: the dispatcher has closed it for this
/// version of its record, and no work runs on it.
fn is_empty<F: FleetFaults>(record: &HostRecord, report: &HostReport) -> bool {
    let closed = F::EMPTY_BEFORE_CLOSE
        || report.closed_version == Some(record.version)
        || (F::IGNORE_VERSION && report.closed_version.is_some());
    closed && report.running == 0
}
