//! Maintenance waves: chooses the hosts that are drained for maintenance.

use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Snapshot};
use crate::faults::FleetFaults;
use crate::{Change, DrainPurpose, HostRecord, HostState, Records, WaitReason, WallTime};

impl<F: FleetFaults> Planner<F> {
    /// Stages the drains for maintenance in all pools and records why pools wait.
    pub(super) fn plan_waves(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        self.wait_reasons.clear();
        let mass_failure = self.mass_failure(records);
        for pool in snapshot.pools.values() {
            let wait = match self.blocking_reason(pool).or_else(|| mass_failure.clone()) {
                Some(wait) => Some(wait),
                None => self.plan_wave(snapshot, records, pool, now),
            };
            if let Some(wait) = wait {
                self.wait_reasons.insert(pool.id.clone(), wait);
            }
        }
    }

    /// Returns the setting of a pool that prevents maintenance, if any.
    fn blocking_reason(&self, pool: &Pool) -> Option<WaitReason> {
        match pool {
            Pool { hold: true, .. } => Some(WaitReason::OnHold),
            Pool { budget: 0, .. } => Some(WaitReason::NoBudget),
            _ => None,
        }
    }

    /// Returns a reason to stop all new drains if a large part of the fleet is
    /// failing at the same time.
    pub(super) fn mass_failure(&self, records: &Records) -> Option<WaitReason> {
        let fleet = records.hosts().len();
        let failed = |host: &&HostId| {
            let record = records.hosts().get(*host);
            // Hosts that are already lost do not indicate a current failure.
            record.is_some_and(|each| !each.state.is_planned() && each.state != HostState::Lost)
        };
        let away = self.absent_since.keys().filter(failed).count();
        let max_away = self.limits.failed_fraction * fleet as f64;
        (away > 1 && away as f64 > max_away).then_some(WaitReason::MassFailure { away, fleet })
    }

    /// Stages the drains for maintenance in one pool and returns why no further
    /// host is drained, if there is a reason.
    fn plan_wave(
        &mut self,
        snapshot: &Snapshot<'_, F>,
        records: &mut Records,
        pool: &Pool,
        now: WallTime,
    ) -> Option<WaitReason> {
        if !self.is_wave_open(records, pool, now) {
            return Some(WaitReason::NotDue);
        }
        let failures = self.failures(pool, records);
        let mut shortest = None;
        for host in self.candidates(snapshot, records, pool, now) {
            let remaining = snapshot.remaining(&host);
            if remaining > self.limits.max_remaining && !self.is_urgent(records, &host, pool, now) {
                shortest = shortest.or(Some(remaining));
                continue;
            }
            let mut serving = snapshot.serving(records, &pool.id);
            serving.retain(|each| each.host != host);
            let budget = snapshot.budget(pool, &serving, failures);
            if budget.margin() < 0 {
                let serving = snapshot.serving(records, &pool.id);
                return Some(WaitReason::NoMargin(snapshot.budget(pool, &serving, failures)));
            }
            self.stage(records, &host, Change::Drain(DrainPurpose::Maintain), now);
        }
        shortest.map(WaitReason::LongWork)
    }

    /// Returns whether the wave of a pool is in progress. A wave begins when the time
    /// since the last maintenance of any host reaches `wave_start` of the period. It
    /// includes all hosts for which this time reaches `wave_floor`, and ends when no
    /// such host is left. Lost hosts are not taken into account.
    fn is_wave_open(&mut self, records: &Records, pool: &Pool, now: WallTime) -> bool {
        let any_older = |fraction: f64| {
            let age = pool.period.mul_f64(fraction);
            let old = move |each: &&HostRecord| now.since(each.maintained) >= age;
            let members = records.hosts().values().filter(|each| each.pool == pool.id);
            members.filter(|each| each.state != HostState::Lost).any(|each| old(&each))
        };
        if any_older(self.limits.wave_start) {
            self.open_waves.insert(pool.id.clone());
        } else if !any_older(self.limits.wave_floor) {
            self.open_waves.remove(&pool.id);
        }
        self.open_waves.contains(&pool.id)
    }

    /// Returns the hosts that the wave may drain next. Hosts near their deadline
    /// come first, then the hosts with the shortest remaining work.
    pub(super) fn candidates(
        &self,
        snapshot: &Snapshot<'_, F>,
        records: &Records,
        pool: &Pool,
        now: WallTime,
    ) -> Vec<HostId> {
        let age = pool.period.mul_f64(self.limits.wave_floor);
        let mut hosts = snapshot.serving(records, &pool.id);
        hosts.retain(|each| now.since(each.maintained) >= age);
        hosts.retain(|each| each.state == HostState::Active);
        hosts.sort_by_key(|each| {
            let deadline = each.deadline(pool.period);
            let urgent = now.after(self.limits.urgent_before) >= deadline;
            let urgency = if urgent { deadline } else { WallTime(u64::MAX) };
            (urgency, snapshot.remaining(&each.host), deadline)
        });
        hosts.into_iter().map(|each| each.host.clone()).collect()
    }

    /// Returns whether the maintenance deadline of a host is near.
    fn is_urgent(&self, records: &Records, host: &HostId, pool: &Pool, now: WallTime) -> bool {
        let deadline = records.hosts().get(host).map(|each| each.deadline(pool.period));
        deadline.is_some_and(|deadline| now.after(self.limits.urgent_before) >= deadline)
    }
}
