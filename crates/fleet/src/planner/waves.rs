//! Chooses the hosts that are drained for maintenance.

use vg_base::prelude::*;
use vg_conf::Pool;

use super::{Planner, Scene};
use crate::faults::FleetFaults;
use crate::{Change, DrainPurpose, HostRecord, HostState, Records, WaitReason, WallTime};

impl<F: FleetFaults> Planner<F> {
    pub(super) fn plan_waves(
        &mut self,
        scene: &Scene<'_, F>,
        records: &mut Records,
        now: WallTime,
    ) {
        self.waits.clear();
        let brake = self.brake(records);
        for pool in scene.pools.values() {
            let wait = match self.hindrance(pool).or_else(|| brake.clone()) {
                Some(wait) => Some(wait),
                None => self.plan_wave(scene, records, pool, now),
            };
            if let Some(wait) = wait {
                self.waits.insert(pool.id.clone(), wait);
            }
        }
    }

    fn hindrance(&self, pool: &Pool) -> Option<WaitReason> {
        match pool {
            Pool { hold: true, .. } => Some(WaitReason::OnHold),
            Pool { budget: 0, .. } => Some(WaitReason::NoBudget),
            _ => None,
        }
    }

    /// Stops all new drains while a large part of the fleet fails at once.
    pub(super) fn brake(&self, records: &Records) -> Option<WaitReason> {
        let fleet = records.hosts().len();
        let failed = |host: &&HostId| {
            let record = records.hosts().get(*host);
            // Long lost hosts are no sign of a failure under way.
            record.is_some_and(|each| !each.state.is_planned() && each.state != HostState::Lost)
        };
        let away = self.away.keys().filter(failed).count();
        let most = self.limits.failed_fraction * fleet as f64;
        (away > 1 && away as f64 > most).then_some(WaitReason::MassFailure { away, fleet })
    }

    fn plan_wave(
        &mut self,
        scene: &Scene<'_, F>,
        records: &mut Records,
        pool: &Pool,
        now: WallTime,
    ) -> Option<WaitReason> {
        if !self.is_open(records, pool, now) {
            return Some(WaitReason::NotDue);
        }
        let failures = self.failures(pool, records);
        let mut shortest = None;
        for host in self.candidates(scene, records, pool, now) {
            let remaining = scene.remaining(&host);
            if remaining > self.limits.max_remaining && !self.is_urgent(records, &host, pool, now) {
                shortest = shortest.or(Some(remaining));
                continue;
            }
            let mut serving = scene.serving(records, &pool.id);
            serving.retain(|each| each.host != host);
            let budget = scene.budget(pool, &serving, failures);
            if budget.margin() < 0 {
                let serving = scene.serving(records, &pool.id);
                return Some(WaitReason::NoMargin(scene.budget(pool, &serving, failures)));
            }
            self.stage(records, &host, Change::Drain(DrainPurpose::Maintain), now);
        }
        shortest.map(WaitReason::LongWork)
    }

    /// Whether a pool's wave is under way; one begins with the first host that
    /// is due, and takes along all that are well into their period.
    fn is_open(&mut self, records: &Records, pool: &Pool, now: WallTime) -> bool {
        let aged = |part: f64| {
            let age = pool.period.mul_f64(part);
            let old = move |each: &&HostRecord| now.since(each.maintained) >= age;
            let members = records.hosts().values().filter(|each| each.pool == pool.id);
            members.filter(|each| each.state != HostState::Lost).any(|each| old(&each))
        };
        if aged(self.limits.wave_start) {
            self.waves.insert(pool.id.clone());
        } else if !aged(self.limits.wave_floor) {
            self.waves.remove(&pool.id);
        }
        self.waves.contains(&pool.id)
    }

    /// Returns the hosts that the wave may drain next: those near their
    /// deadline, then those with the least work left.
    pub(super) fn candidates(
        &self,
        scene: &Scene<'_, F>,
        records: &Records,
        pool: &Pool,
        now: WallTime,
    ) -> Vec<HostId> {
        let age = pool.period.mul_f64(self.limits.wave_floor);
        let mut hosts = scene.serving(records, &pool.id);
        hosts.retain(|each| now.since(each.maintained) >= age);
        hosts.retain(|each| each.state == HostState::Active);
        hosts.sort_by_key(|each| {
            let deadline = each.deadline(pool.period);
            let urgent = now.after(self.limits.urgent_before) >= deadline;
            let hurry = if urgent { deadline } else { WallTime(u64::MAX) };
            (hurry, scene.remaining(&each.host), deadline)
        });
        hosts.into_iter().map(|each| each.host.clone()).collect()
    }

    fn is_urgent(&self, records: &Records, host: &HostId, pool: &Pool, now: WallTime) -> bool {
        let deadline = records.hosts().get(host).map(|each| each.deadline(pool.period));
        deadline.is_some_and(|deadline| now.after(self.limits.urgent_before) >= deadline)
    }
}
