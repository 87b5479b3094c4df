//! Fixed waves: one group of hosts after the other.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_fleet::{
    Adoption, Change, DrainPurpose, HostRecord, HostReport, HostState, Transition, WallTime,
    WriteContext,
};

use super::policy::{Policy, Seen};

/// What a fixed wave consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Group {
    /// All hosts of a rack.
    Rack,
    /// One host.
    Host,
}

/// Time that a group takes, with room for failures.
const GROUP_TIME: Duration = Duration::from_secs(90 * 60);
/// Part of the period at which a pass should be over.
const PASS_END: f64 = 0.95;

/// Drains a group, reboots all of it when it is empty, and goes on when all of
/// it is back.
pub(crate) struct Fixed {
    group: Group,
    hosts: BTreeMap<HostId, HostRecord>,
    wave: BTreeSet<HostId>,
    start: f64,
    version: u64,
    steps: Vec<Transition>,
}

impl Fixed {
    /// Makes the policy; a pass of `groups` begins as late as it can.
    pub(crate) fn new(group: Group, groups: usize, period: Duration) -> Fixed {
        let (hosts, wave) = (BTreeMap::new(), BTreeSet::new());
        let pass = GROUP_TIME.as_secs_f64() * groups as f64 / period.as_secs_f64();
        let start = (PASS_END - pass).max(0.0);
        Fixed { group, hosts, wave, start, version: 0, steps: Vec::new() }
    }

    fn apply(&mut self, host: &HostId, change: Change, now: WallTime) {
        let step = Transition { host: host.clone(), change };
        let mark = WriteContext { epoch: Epoch(1), version: self.version, now };
        if let Ok(Some(record)) = step.apply(self.hosts.get(host), mark) {
            self.hosts.insert(host.clone(), record);
            self.steps.push(step);
        }
    }

    fn follow_list(&mut self, seen: &Seen<'_>, now: WallTime) {
        let listed: BTreeSet<&HostId> = seen.listed.iter().map(|each| &each.host).collect();
        self.hosts.retain(|host, _| listed.contains(host));
        self.wave.retain(|host| listed.contains(host));
        for each in seen.listed.iter().filter(|each| each.pool.is_some()) {
            if self.hosts.contains_key(&each.host) {
                continue;
            }
            let pool = each.pool.clone().expect("filtered above");
            let (host, zone, rack) = (each.host.clone(), each.zone.clone(), each.rack.clone());
            self.apply(
                &each.host,
                Change::Adopt(Adoption { host, pool, zone, rack, ready: true }),
                now,
            );
        }
    }

    fn advance(&mut self, reports: &BTreeMap<&HostId, &HostReport>, now: WallTime) {
        let all_empty = self.wave.iter().all(|host| {
            let record = self.hosts.get(host);
            record.is_none_or(|record| !matches!(record.state, HostState::Draining(_)))
        });
        for record in self.hosts.clone().into_values() {
            let Some(report) = reports.get(&record.host).filter(|report| report.up) else {
                continue;
            };
            let change = match record.state {
                HostState::Draining(_) if report.running == 0 => Change::MarkEmpty,
                HostState::Empty(_) if all_empty => Change::Reboot(report.boot),
                HostState::Rebooting if report.boot != record.boot => Change::Probe,
                HostState::Probation if report.verified_version == Some(record.version) => {
                    Change::Activate
                }
                _ => continue,
            };
            self.apply(&record.host, change, now);
        }
    }

    fn next_wave(&mut self, seen: &Seen<'_>, now: WallTime) {
        let active =
            |host: &HostId| self.hosts.get(host).is_none_or(|each| each.state == HostState::Active);
        if !self.wave.iter().all(active) {
            return;
        }
        self.wave.clear();
        let Some(period) = seen.pools.first().map(|pool| pool.period) else { return };
        let up: BTreeSet<&HostId> =
            seen.reports.iter().filter(|each| each.up).map(|each| &each.host).collect();
        let ready = |each: &&HostRecord| {
            let aged = now.since(each.maintained) >= period.mul_f64(self.start);
            aged && each.state == HostState::Active && up.contains(&each.host)
        };
        let ready: Vec<&HostRecord> = self.hosts.values().filter(ready).collect();
        let Some(oldest) = ready.iter().min_by_key(|each| each.maintained) else { return };
        let same = |each: &&&HostRecord| match self.group {
            Group::Rack => each.rack == oldest.rack,
            Group::Host => each.host == oldest.host,
        };
        self.wave = ready.iter().filter(same).map(|each| each.host.clone()).collect();
        for host in self.wave.clone() {
            self.apply(&host, Change::Drain(DrainPurpose::Maintain), now);
        }
    }
}

impl Policy for Fixed {
    fn round(&mut self, seen: &Seen<'_>) -> Vec<Transition> {
        let now = WallTime::from(seen.now);
        self.version += 1;
        self.follow_list(seen, now);
        let reports = seen.reports.iter().map(|each| (&each.host, each)).collect();
        self.advance(&reports, now);
        self.next_wave(seen, now);
        std::mem::take(&mut self.steps)
    }

    fn hosts(&self) -> &BTreeMap<HostId, HostRecord> {
        &self.hosts
    }
}
