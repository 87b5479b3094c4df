//! Baseline: maintains one group of hosts after the other.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_fleet::{
    Adoption, Change, DrainPurpose, HostRecord, HostReport, HostState, Transition, WallTime,
    WriteContext,
};

use super::policy::{Policy, RoundInput};

/// The hosts that are maintained together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaveGroup {
    /// All hosts of a rack.
    Rack,
    /// A single host.
    Host,
}

/// Assumed time to maintain a group, with allowance for failures.
const GROUP_TIME: Duration = Duration::from_secs(90 * 60);
/// Fraction of the maintenance period at which a pass over all groups should end.
const PASS_END: f64 = 0.95;

/// Drains a group, reboots its hosts when none is draining any more, and drains the next
/// group when all hosts of the group are active again.
pub(crate) struct FixedWaves {
    group: WaveGroup,
    hosts: BTreeMap<HostId, HostRecord>,
    /// The hosts of the current group.
    wave: BTreeSet<HostId>,
    /// Time since the last maintenance after which a host is due, as a fraction of the period.
    due_fraction: f64,
    /// Number of the current round.
    version: u64,
    transitions: Vec<Transition>,
}

impl FixedWaves {
    /// Returns a policy whose pass over `groups` groups starts as late as [`PASS_END`] allows.
    pub(crate) fn new(group: WaveGroup, groups: usize, period: Duration) -> FixedWaves {
        let (hosts, wave) = (BTreeMap::new(), BTreeSet::new());
        let pass = GROUP_TIME.as_secs_f64() * groups as f64 / period.as_secs_f64();
        let due_fraction = (PASS_END - pass).max(0.0);
        FixedWaves { group, hosts, wave, due_fraction, version: 0, transitions: Vec::new() }
    }

    /// Applies a change to a host, if it is valid.
    fn apply(&mut self, host: &HostId, change: Change, now: WallTime) {
        let transition = Transition { host: host.clone(), change };
        let context = WriteContext { epoch: Epoch(1), version: self.version, now };
        if let Ok(Some(record)) = transition.apply(self.hosts.get(host), context) {
            self.hosts.insert(host.clone(), record);
            self.transitions.push(transition);
        }
    }

    /// Adopts new hosts of the list and forgets those that are no longer listed.
    fn apply_host_list(&mut self, input: &RoundInput<'_>, now: WallTime) {
        let listed: BTreeSet<&HostId> = input.listed.iter().map(|each| &each.host).collect();
        self.hosts.retain(|host, _| listed.contains(host));
        self.wave.retain(|host| listed.contains(host));
        for each in input.listed.iter().filter(|each| each.pool.is_some()) {
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

    /// Advances each host that is up to its next state, if its report allows that. An empty
    /// host reboots only when no host of the current group is draining any more.
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

    /// Drains the next group if all hosts of the current group are active. The next group is
    /// that of the host whose last maintenance is oldest. Only hosts that are due, active and up
    /// are considered.
    fn start_next_wave(&mut self, input: &RoundInput<'_>, now: WallTime) {
        let active =
            |host: &HostId| self.hosts.get(host).is_none_or(|each| each.state == HostState::Active);
        if !self.wave.iter().all(active) {
            return;
        }
        self.wave.clear();
        let Some(period) = input.pools.first().map(|pool| pool.period) else { return };
        let up: BTreeSet<&HostId> =
            input.reports.iter().filter(|each| each.up).map(|each| &each.host).collect();
        let ready = |each: &&HostRecord| {
            let is_due = now.since(each.maintained) >= period.mul_f64(self.due_fraction);
            is_due && each.state == HostState::Active && up.contains(&each.host)
        };
        let ready: Vec<&HostRecord> = self.hosts.values().filter(ready).collect();
        let Some(oldest) = ready.iter().min_by_key(|each| each.maintained) else { return };
        let in_group = |each: &&&HostRecord| match self.group {
            WaveGroup::Rack => each.rack == oldest.rack,
            WaveGroup::Host => each.host == oldest.host,
        };
        self.wave = ready.iter().filter(in_group).map(|each| each.host.clone()).collect();
        for host in self.wave.clone() {
            self.apply(&host, Change::Drain(DrainPurpose::Maintain), now);
        }
    }
}

impl Policy for FixedWaves {
    fn run_round(&mut self, input: &RoundInput<'_>) -> Vec<Transition> {
        let now = WallTime::from(input.now);
        self.version += 1;
        self.apply_host_list(input, now);
        let reports = input.reports.iter().map(|each| (&each.host, each)).collect();
        self.advance(&reports, now);
        self.start_next_wave(input, now);
        std::mem::take(&mut self.transitions)
    }

    fn hosts(&self) -> &BTreeMap<HostId, HostRecord> {
        &self.hosts
    }
}
