//! Explains to operators where hosts and pools stand.

use smol_str::format_smolstr;
use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Scene};
use crate::faults::FleetFaults;
use crate::{
    Budget, HostRecord, HostReport, HostState, HostStatus, ListedHost, PoolStatus, Records, Remedy,
    WaitReason, WallTime,
};

impl<F: FleetFaults> Planner<F> {
    /// Explains where a pool stands, what its wave waits for, when a host will
    /// pass its period and what would fix it.
    pub fn explain_pool(
        &self,
        pool: &Pool,
        listed: &[ListedHost],
        reports: &[HostReport],
        records: &Records,
        now: SystemTime,
    ) -> PoolStatus {
        let now = WallTime::from(now);
        let scene = Scene::new(std::slice::from_ref(pool), listed, reports);
        let members: Vec<&HostRecord> =
            records.hosts().values().filter(|each| each.pool == pool.id).collect();
        let serving = scene.serving(records, &pool.id);
        let budget = scene.budget(pool, &serving, self.failures(pool, records));
        let planned = members.iter().filter(|each| each.state.is_planned()).count();
        let age = pool.period.mul_f64(self.limits.wave_floor);
        let due = members.iter().filter(|each| now.since(each.maintained) >= age).count();
        let overdue_at = self.first_miss(pool, &members, &budget, planned, now);
        let failed = members.len() - planned - serving.len();
        let remedy = overdue_at.map(|_| self.remedy(&scene, pool, &members, &budget, failed));
        let wait = self.waits.get(&pool.id).cloned();
        let (pool, members) = (pool.id.clone(), members.len());
        PoolStatus { pool, budget, members, planned, failed, due, wait, overdue_at, remedy }
    }

    /// Explains why a host is in its state.
    pub fn explain_host(
        &self,
        host: &HostId,
        listed: &[ListedHost],
        reports: &[HostReport],
        records: &Records,
    ) -> Option<HostStatus> {
        let scene = Scene::<F>::new(&[], listed, reports);
        let record = records.hosts().get(host)?.clone();
        let serving = scene.is_serving(&record);
        let reason = self.reason(&scene, &record);
        Some(HostStatus { record, serving, reason })
    }

    fn reason(&self, scene: &Scene<'_, F>, record: &HostRecord) -> SmolStr {
        let report = scene.reports.get(&record.host);
        let up = report.is_some_and(|report| report.up);
        match &record.state {
            HostState::Active if !scene.listed.contains_key(&record.host) => {
                "it is not in the host list".into()
            }
            HostState::Active if !up => "it does not answer".into(),
            HostState::Active if !scene.is_serving(record) => "the platform takes it away".into(),
            HostState::Active => "it takes work".into(),
            HostState::Draining(purpose) => {
                let running = report.map_or(0, |report| report.running);
                format_smolstr!("{purpose}: {running} runs have to end or be checkpointed")
            }
            HostState::Empty(purpose) => format_smolstr!("{purpose}: it runs nothing"),
            HostState::Rebooting => "it was ordered to reboot and is not back".into(),
            HostState::Moving => format_smolstr!("it is being set up for {}", record.pool),
            HostState::Probation => "it is back and its probes have not all gone well".into(),
            HostState::Lost => "it was away for too long".into(),
        }
    }

    fn first_miss(
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
        let room = usize::try_from(budget.margin()).unwrap_or(0) + planned;
        if blocked || room == 0 {
            return deadlines.first().copied();
        }
        let late = |(at, deadline): (usize, WallTime)| {
            let rounds = u32::try_from(at / room + 1).unwrap_or(u32::MAX);
            let done = now.after(self.rates.mean_away().saturating_mul(rounds));
            (done > deadline).then_some(deadline)
        };
        deadlines.into_iter().enumerate().find_map(late)
    }

    fn remedy(
        &self,
        scene: &Scene<'_, F>,
        pool: &Pool,
        members: &[&HostRecord],
        budget: &Budget,
        failed: usize,
    ) -> Remedy {
        if pool.hold {
            return Remedy::LiftHold;
        }
        let whole = scene.budget(pool, members, budget.reserve);
        if whole.margin() < 1 || pool.budget == 0 {
            let room = (1 - whole.margin()).max(1);
            return Remedy::RaiseBudget(u32::try_from(room).unwrap_or(u32::MAX));
        }
        match self.waits.get(&pool.id) {
            Some(WaitReason::NoMargin(_) | WaitReason::MassFailure { .. }) if failed > 0 => {
                Remedy::RepairHosts(failed)
            }
            _ => Remedy::ExtendPeriod,
        }
    }
}
