//! Explains the status of hosts and pools to operators.

use smol_str::format_smolstr;
use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Snapshot};
use crate::faults::FleetFaults;
use crate::{
    Budget, HostRecord, HostReport, HostState, HostStatus, ListedHost, PoolStatus, Records, Remedy,
    WaitReason, WallTime,
};

impl<F: FleetFaults> Planner<F> {
    /// Returns the status of a pool: why its wave waits, when the first host will
    /// miss its maintenance deadline and what would prevent this.
    pub fn explain_pool(
        &self,
        pool: &Pool,
        listed: &[ListedHost],
        reports: &[HostReport],
        records: &Records,
        now: SystemTime,
    ) -> PoolStatus {
        let now = WallTime::from(now);
        let snapshot = Snapshot::new(std::slice::from_ref(pool), listed, reports);
        let members: Vec<&HostRecord> =
            records.hosts().values().filter(|each| each.pool == pool.id).collect();
        let serving = snapshot.serving(records, &pool.id);
        let budget = snapshot.budget(pool, &serving, self.failures(pool, records));
        let planned = members.iter().filter(|each| each.state.is_planned()).count();
        let age = pool.period.mul_f64(self.limits.wave_floor);
        let due = members.iter().filter(|each| now.since(each.maintained) >= age).count();
        let overdue_at = self.first_overdue(pool, &members, &budget, planned, now);
        let failed = members.len() - planned - serving.len();
        let remedy = overdue_at.map(|_| self.remedy(&snapshot, pool, &members, &budget, failed));
        let wait = self.wait_reasons.get(&pool.id).cloned();
        let (pool, members) = (pool.id.clone(), members.len());
        PoolStatus { pool, budget, members, planned, failed, due, wait, overdue_at, remedy }
    }

    /// Returns the status of a host and the reason for its state, or `None` if it
    /// has no record.
    pub fn explain_host(
        &self,
        host: &HostId,
        listed: &[ListedHost],
        reports: &[HostReport],
        records: &Records,
    ) -> Option<HostStatus> {
        let snapshot = Snapshot::<F>::new(&[], listed, reports);
        let record = records.hosts().get(host)?.clone();
        let serving = snapshot.is_serving(&record);
        let reason = self.reason(&snapshot, &record);
        Some(HostStatus { record, serving, reason })
    }

    /// Describes the reason for the state of a host.
    fn reason(&self, snapshot: &Snapshot<'_, F>, record: &HostRecord) -> SmolStr {
        let report = snapshot.reports.get(&record.host);
        let up = report.is_some_and(|report| report.up);
        match &record.state {
            HostState::Active if !snapshot.listed.contains_key(&record.host) => {
                "it is not in the host list".into()
            }
            HostState::Active if !up => "it does not answer".into(),
            HostState::Active if !snapshot.is_serving(record) => {
                "the platform is about to remove it".into()
            }
            HostState::Active => "it accepts work".into(),
            HostState::Draining(purpose) => {
                let running = report.map_or(0, |report| report.running);
                format_smolstr!(
                    "{purpose}: {running} calls and jobs have to end or be checkpointed"
                )
            }
            HostState::Empty(purpose) => format_smolstr!("{purpose}: it runs no work"),
            HostState::Rebooting => "it was commanded to reboot and is not back".into(),
            HostState::Moving => format_smolstr!("it is being set up for {}", record.pool),
            HostState::Probation => "it is back and has not passed all probes".into(),
            HostState::Lost => "it was absent for too long".into(),
        }
    }

    /// Returns the earliest deadline that an active host of the pool will miss, if
    /// the pool maintains as many hosts at once as its margin allows and each takes
    /// the mean time away. Returns the first deadline if no host can be maintained.
    fn first_overdue(
        &self,
        pool: &Pool,
        members: &[&HostRecord],
        budget: &Budget,
        planned: usize,
        now: WallTime,
    ) -> Option<WallTime> {
        let waiting = members.iter().filter(|each| each.state == HostState::Active);
        let mut deadlines: Vec<WallTime> = waiting.map(|each| each.deadline(pool.period)).collect();
        deadlines.sort_unstable();
        let blocked = pool.hold || pool.budget == 0;
        let parallel = usize::try_from(budget.margin()).unwrap_or(0) + planned;
        if blocked || parallel == 0 {
            return deadlines.first().copied();
        }
        let overdue = |(index, deadline): (usize, WallTime)| {
            let rounds = u32::try_from(index / parallel + 1).unwrap_or(u32::MAX);
            let done = now.after(self.measurements.mean_away().saturating_mul(rounds));
            (done > deadline).then_some(deadline)
        };
        deadlines.into_iter().enumerate().find_map(overdue)
    }

    /// Returns the action that would let all hosts be maintained in time.
    fn remedy(
        &self,
        snapshot: &Snapshot<'_, F>,
        pool: &Pool,
        members: &[&HostRecord],
        budget: &Budget,
        failed: usize,
    ) -> Remedy {
        if pool.hold {
            return Remedy::LiftHold;
        }
        // The budget that the pool would have if all its members served.
        let full_budget = snapshot.budget(pool, members, budget.reserve);
        if full_budget.margin() < 1 || pool.budget == 0 {
            let missing = (1 - full_budget.margin()).max(1);
            return Remedy::RaiseBudget(u32::try_from(missing).unwrap_or(u32::MAX));
        }
        match self.wait_reasons.get(&pool.id) {
            Some(WaitReason::NoMargin(_) | WaitReason::MassFailure { .. }) if failed > 0 => {
                Remedy::RepairHosts(failed)
            }
            _ => Remedy::ExtendPeriod,
        }
    }
}
