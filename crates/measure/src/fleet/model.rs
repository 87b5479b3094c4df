//! Simulates hosts with their work and their failures.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use vg_base::prelude::*;
use vg_fleet::{HostRecord, HostReport, HostState, ListedHost};

use super::site::{Site, name};

/// Simulated time of a step.
pub(crate) const STEP: Duration = Duration::from_secs(5 * 60);
/// Number of steps in a day.
pub(crate) const DAY_STEPS: u64 = 288;

/// Number of hosts of the largest planned fleet, for which the rates of failures are stated.
const TARGET_HOSTS: f64 = 600.0;
/// Rate of host failures.
const FAILURES_PER_DAY: f64 = 6.0;
/// Rate of unplanned restarts.
const RESTARTS_PER_DAY: f64 = 80.0;
/// Rate of replacements of a host by a new one.
const REPLACEMENTS_PER_DAY: f64 = 13.0;
/// Rate of failures of a whole rack.
const RACK_FAILURES_PER_DAY: f64 = 1.0 / 30.0;
/// Day on which an availability zone fails.
const ZONE_DAY: u64 = 20;

/// Mean run time of work.
const WORK_MEAN_SECONDS: f64 = 1800.0;
/// Steps for which a failed host is down: 8 h.
const FAILED_STEPS: u64 = 96;
/// Steps until a replaced host is back under a new name: 30 min.
const REPLACED_STEPS: u64 = 6;
/// Steps for which the hosts of a failed rack are down: 2 h.
const RACK_STEPS: u64 = 24;
/// Steps for which the hosts of a failed zone are down: 1 h.
const ZONE_STEPS: u64 = 12;
/// Steps to set up a host for another pool: 10 min.
const SETUP_STEPS: u64 = 2;

/// A simulated host.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) report: HostReport,
    pub(crate) listed: ListedHost,
    pub(crate) is_listed: bool,
    /// Step from which the host is up again.
    up_at: u64,
    /// Steps of the current set-up that are done.
    setup_steps: u64,
    /// Number of replacements, which is part of the name.
    replacements: u32,
}

/// The simulated hosts.
pub(crate) struct FleetModel {
    pub(crate) hosts: Vec<Host>,
    pub(crate) step: u64,
    rng: SmallRng,
    zones: usize,
}

impl FleetModel {
    /// Returns hosts that are up and have no work.
    pub(crate) fn new(site: &Site, seed: u64) -> FleetModel {
        let hosts = (0..site.hosts).map(|index| Host::new(site, index)).collect();
        FleetModel { hosts, step: 0, rng: SmallRng::seed_from_u64(seed), zones: site.zones }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> SystemTime {
        // The time starts long after the epoch, so that hosts can have been maintained before.
        SystemTime::UNIX_EPOCH + 100 * DAY_STEPS as u32 * STEP + STEP * self.step as u32
    }

    /// Returns the host list.
    pub(crate) fn listed(&self) -> Vec<ListedHost> {
        self.hosts.iter().filter(|each| each.is_listed).map(|each| each.listed.clone()).collect()
    }

    /// Returns the reports of all hosts.
    pub(crate) fn reports(&self) -> Vec<HostReport> {
        self.hosts.iter().map(|each| each.report.clone()).collect()
    }

    /// Advances by one step, in which the hosts act on their records.
    pub(crate) fn advance<'r>(&mut self, record: impl Fn(&HostId) -> Option<&'r HostRecord>) {
        self.step += 1;
        self.inject_failures();
        let step = self.step;
        for host in &mut self.hosts {
            host.bring_up(step);
            let record = record(&host.listed.host);
            // A number is drawn for each host in each step, so that the failures do not depend
            // on the policy.
            let work = -WORK_MEAN_SECONDS * (1.0 - self.rng.random::<f64>()).ln();
            if let Some(record) = record {
                host.follow_record(record, step, Duration::from_secs_f64(work));
            }
        }
    }

    /// Draws the failures of a step.
    fn inject_failures(&mut self) {
        let rate_scale = self.hosts.len() as f64 / TARGET_HOSTS / DAY_STEPS as f64;
        for (rate, steps, replaced) in [
            (FAILURES_PER_DAY, FAILED_STEPS, false),
            (RESTARTS_PER_DAY, 1, false),
            (REPLACEMENTS_PER_DAY, REPLACED_STEPS, true),
        ] {
            let (hit, index) =
                (self.rng.random::<f64>(), self.rng.random_range(0..self.hosts.len()));
            if hit < rate * rate_scale {
                self.hosts[index].take_down(self.step + steps, replaced);
            }
        }
        let (hit, index) = (self.rng.random::<f64>(), self.rng.random_range(0..self.hosts.len()));
        if hit < RACK_FAILURES_PER_DAY * rate_scale {
            let rack = self.hosts[index].listed.rack.clone();
            self.take_all_down(|host| host.listed.rack == rack, RACK_STEPS);
        }
        if self.step == ZONE_DAY * DAY_STEPS {
            let zone: ZoneId = name(&format!("z{}", index % self.zones));
            self.take_all_down(|host| host.listed.zone == zone, ZONE_STEPS);
        }
    }

    /// Takes the selected hosts down for a number of steps.
    fn take_all_down(&mut self, selected: impl Fn(&Host) -> bool, steps: u64) {
        let up_at = self.step + steps;
        self.hosts
            .iter_mut()
            .filter(|host| selected(host))
            .for_each(|host| host.take_down(up_at, false));
    }
}

impl Host {
    fn new(site: &Site, index: usize) -> Host {
        let host: HostId = name(&format!("h{index:03}"));
        let report = HostReport {
            host: host.clone(),
            up: true,
            boot: Incarnation(1),
            running: 0,
            remaining: Duration::ZERO,
            closed_version: None,
            verified_version: None,
            pool: None,
        };
        let listed = ListedHost {
            host,
            pool: Some(site.pool_of(index)),
            zone: site.zone_of(index),
            rack: site.rack_of(index),
            leaving: false,
        };
        Host { report, listed, is_listed: true, up_at: 0, setup_steps: 0, replacements: 0 }
    }

    /// Takes the host down until step `up_at`, and off the list if it is replaced.
    fn take_down(&mut self, up_at: u64, replaced: bool) {
        self.report.up = false;
        self.report.running = 0;
        self.report.remaining = Duration::ZERO;
        self.up_at = self.up_at.max(up_at);
        if replaced && self.is_listed {
            self.is_listed = false;
            self.replacements += 1;
        }
    }

    /// Brings the host up if it is time, with a new name if it was replaced.
    fn bring_up(&mut self, step: u64) {
        if self.report.up || step < self.up_at {
            return;
        }
        if !self.is_listed {
            let base = self.listed.host.as_str().split('.').next().unwrap_or_default().to_owned();
            self.listed.host = name(&format!("{base}.{}", self.replacements));
            self.report.host = self.listed.host.clone();
            self.is_listed = true;
        }
        self.report.up = true;
        self.report.boot = self.report.boot.next();
    }

    /// Acts on the host's record: runs work, closes the host to new work, reboots it, or sets it
    /// up for another pool.
    fn follow_record(&mut self, record: &HostRecord, step: u64, work: Duration) {
        if !self.report.up {
            return;
        }
        let report = &mut self.report;
        report.verified_version = Some(record.version);
        report.remaining = report.remaining.saturating_sub(STEP);
        if record.state == HostState::Active && report.remaining.is_zero() {
            report.remaining = work;
        }
        report.running = u32::from(!report.remaining.is_zero());
        match record.state {
            HostState::Draining(_) => report.closed_version = Some(record.version),
            HostState::Rebooting if report.boot == record.boot => self.take_down(step + 2, false),
            HostState::Moving if report.pool.as_ref() != Some(&record.pool) => {
                self.setup_steps += 1;
                if self.setup_steps >= SETUP_STEPS {
                    report.pool = Some(record.pool.clone());
                    self.setup_steps = 0;
                }
            }
            _ => {}
        }
    }
}
