//! Hosts, their work and their failures on model time.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use vg_base::prelude::*;
use vg_fleet::{HostRecord, HostReport, HostState, ListedHost};

use super::site::{Site, name};

/// Model time of a step.
pub(crate) const STEP: Duration = Duration::from_secs(5 * 60);
/// Steps of a day.
pub(crate) const DAY_STEPS: u64 = 288;

/// Hosts of the target, which its failures are stated for.
const TARGET_HOSTS: f64 = 600.0;
const FAILURES_A_DAY: f64 = 6.0;
const RESTARTS_A_DAY: f64 = 80.0;
const REPLACEMENTS_A_DAY: f64 = 13.0;
const RACKS_A_DAY: f64 = 1.0 / 30.0;
/// Day of the loss of an availability zone.
const ZONE_DAY: u64 = 20;

/// Mean time that work runs.
const WORK_MEAN_SECONDS: f64 = 1800.0;
/// Steps that a failed host, a replaced one, a rack and a zone are away.
const FAILED_STEPS: u64 = 96;
const REPLACED_STEPS: u64 = 6;
const RACK_STEPS: u64 = 24;
const ZONE_STEPS: u64 = 12;
/// Steps that a set-up for another pool takes.
const SET_UP_STEPS: u64 = 2;

/// A host of the model.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) report: HostReport,
    pub(crate) listed: ListedHost,
    pub(crate) is_listed: bool,
    back: u64,
    set_up: u64,
    serial: u32,
}

/// All hosts.
pub(crate) struct World {
    pub(crate) hosts: Vec<Host>,
    pub(crate) step: u64,
    rng: SmallRng,
    zones: usize,
}

impl World {
    pub(crate) fn new(site: &Site, seed: u64) -> World {
        let hosts = (0..site.hosts).map(|at| Host::new(site, at)).collect();
        World { hosts, step: 0, rng: SmallRng::seed_from_u64(seed), zones: site.zones }
    }

    pub(crate) fn now(&self) -> SystemTime {
        // Far enough from the epoch that hosts can have been maintained before.
        SystemTime::UNIX_EPOCH + 100 * DAY_STEPS as u32 * STEP + STEP * self.step as u32
    }

    pub(crate) fn listed(&self) -> Vec<ListedHost> {
        self.hosts.iter().filter(|each| each.is_listed).map(|each| each.listed.clone()).collect()
    }

    pub(crate) fn reports(&self) -> Vec<HostReport> {
        self.hosts.iter().map(|each| each.report.clone()).collect()
    }

    /// Moves one step on, with what the records ask of the hosts.
    pub(crate) fn advance<'r>(&mut self, record: impl Fn(&HostId) -> Option<&'r HostRecord>) {
        self.step += 1;
        self.fail();
        let step = self.step;
        for host in &mut self.hosts {
            host.come_back(step);
            let record = record(&host.listed.host);
            // Draws are made for each host at each step, so that all policies
            // meet the same failures.
            let work = -WORK_MEAN_SECONDS * (1.0 - self.rng.random::<f64>()).ln();
            if let Some(record) = record {
                host.obey(record, step, Duration::from_secs_f64(work));
            }
        }
    }

    fn fail(&mut self) {
        let part = self.hosts.len() as f64 / TARGET_HOSTS / DAY_STEPS as f64;
        for (rate, steps, replaced) in [
            (FAILURES_A_DAY, FAILED_STEPS, false),
            (RESTARTS_A_DAY, 1, false),
            (REPLACEMENTS_A_DAY, REPLACED_STEPS, true),
        ] {
            let (hit, at) = (self.rng.random::<f64>(), self.rng.random_range(0..self.hosts.len()));
            if hit < rate * part {
                self.hosts[at].go(self.step + steps, replaced);
            }
        }
        let (hit, at) = (self.rng.random::<f64>(), self.rng.random_range(0..self.hosts.len()));
        if hit < RACKS_A_DAY * part {
            let rack = self.hosts[at].listed.rack.clone();
            self.go_all(|host| host.listed.rack == rack, RACK_STEPS);
        }
        if self.step == ZONE_DAY * DAY_STEPS {
            let zone: ZoneId = name(&format!("z{}", at % self.zones));
            self.go_all(|host| host.listed.zone == zone, ZONE_STEPS);
        }
    }

    fn go_all(&mut self, which: impl Fn(&Host) -> bool, steps: u64) {
        let back = self.step + steps;
        self.hosts.iter_mut().filter(|host| which(host)).for_each(|host| host.go(back, false));
    }
}

impl Host {
    fn new(site: &Site, at: usize) -> Host {
        let host: HostId = name(&format!("h{at:03}"));
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
            pool: Some(site.pool_of(at)),
            zone: site.zone_of(at),
            rack: site.rack_of(at),
            leaving: false,
        };
        Host { report, listed, is_listed: true, back: 0, set_up: 0, serial: 0 }
    }

    fn go(&mut self, back: u64, replaced: bool) {
        self.report.up = false;
        self.report.running = 0;
        self.report.remaining = Duration::ZERO;
        self.back = self.back.max(back);
        if replaced && self.is_listed {
            self.is_listed = false;
            self.serial += 1;
        }
    }

    fn come_back(&mut self, step: u64) {
        if self.report.up || step < self.back {
            return;
        }
        if !self.is_listed {
            let base = self.listed.host.as_str().split('.').next().unwrap_or_default().to_owned();
            self.listed.host = name(&format!("{base}.{}", self.serial));
            self.report.host = self.listed.host.clone();
            self.is_listed = true;
        }
        self.report.up = true;
        self.report.boot = self.report.boot.next();
    }

    fn obey(&mut self, record: &HostRecord, step: u64, work: Duration) {
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
            HostState::Rebooting if report.boot == record.boot => self.go(step + 2, false),
            HostState::Moving if report.pool.as_ref() != Some(&record.pool) => {
                self.set_up += 1;
                if self.set_up >= SET_UP_STEPS {
                    report.pool = Some(record.pool.clone());
                    self.set_up = 0;
                }
            }
            _ => {}
        }
    }
}
