//! A pool with an endpoint that fails fast, one that leaves and one that joins.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;

use vg_base::prelude::*;
use vg_route::{CallResult, EndpointInfo, Endpoints, ListRevision, ProbePolicy, Slot};

use super::draw::Draw;
use super::site::Site;
use crate::Error;
use crate::report::{Table, percent};

/// Length of a run, in steps of a millisecond.
const STEPS: u64 = 120_000;
/// When the first endpoint fails everything at once.
const FAILS: std::ops::Range<u64> = 20_000..60_000;
/// When the list shows the second endpoint as leaving.
const LEAVES: u64 = 70_000;
/// When the list shows a new endpoint.
const JOINS: u64 = 80_000;
/// Run time of a call that fails.
const FAIL_STEPS: u64 = 2;
/// Mean run time of a call, in steps.
const SERVICE_STEPS: f64 = 80.0;
/// Load, in parts of what the pool holds.
const LOAD: f64 = 0.7;
/// Slots of an endpoint.
const SLOTS_EACH: usize = 8;

/// Chooses the endpoint of a call.
trait Balancer {
    /// Takes in the host list.
    fn list(&mut self, revision: u64, list: &[EndpointInfo], now: Instant);

    /// Takes a slot; returns the endpoint's place in the list.
    fn pick(&mut self, now: Instant) -> Option<Picked>;

    /// Gives a slot back.
    fn release(&mut self, picked: Picked, failed: bool, now: Instant);
}

/// A slot that was taken.
#[derive(Debug)]
struct Picked {
    endpoint: usize,
    slot: Option<Slot>,
}

/// The product's own table.
#[derive(Debug, Default)]
struct Ours {
    endpoints: Endpoints,
}

impl Balancer for Ours {
    fn list(&mut self, revision: u64, list: &[EndpointInfo], now: Instant) {
        self.endpoints.apply(ListRevision(revision), list, now);
    }

    fn pick(&mut self, now: Instant) -> Option<Picked> {
        let slot = self.endpoints.acquire(now, None, ProbePolicy::Allowed)?;
        let endpoint = usize::from(slot.addr.port());
        Some(Picked { endpoint, slot: Some(slot) })
    }

    fn release(&mut self, picked: Picked, failed: bool, now: Instant) {
        let result = if failed { CallResult::Failed } else { CallResult::Answered };
        if let Some(slot) = picked.slot {
            self.endpoints.release(slot, result, now);
        }
    }
}

/// Baseline: the next endpoint in turn, or the least loaded, without a look at
/// failures.
#[derive(Debug, Default)]
struct Plain {
    least_loaded: bool,
    list: Vec<EndpointInfo>,
    used: Vec<usize>,
    turn: usize,
}

impl Balancer for Plain {
    fn list(&mut self, _: u64, list: &[EndpointInfo], _: Instant) {
        self.list = list.to_vec();
        self.used.resize(list.len(), 0);
    }

    fn pick(&mut self, _: Instant) -> Option<Picked> {
        let count = self.list.len();
        let turns = (0..count).map(|at| (self.turn + at) % count);
        let mut open = turns.filter(|&at| !self.list[at].leaving && self.used[at] < SLOTS_EACH);
        let least_loaded = self.least_loaded;
        let endpoint =
            if least_loaded { open.min_by_key(|&at| self.used[at]) } else { open.next() };
        let endpoint = endpoint?;
        self.turn = endpoint + 1;
        self.used[endpoint] += 1;
        Some(Picked { endpoint, slot: None })
    }

    fn release(&mut self, picked: Picked, _: bool, _: Instant) {
        self.used[picked.endpoint] -= 1;
    }
}

/// What a run counted.
#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    failed: usize,
    failed_while: usize,
    sent_while: usize,
    to_leaving: usize,
    most_running: usize,
    waited: u64,
}

/// Runs the balancers and prints a table.
pub(super) fn report(site: &Site, seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nendpoints: one fails everything in 2 ms for 40 s, one leaves, one joins")?;
    let mut table = Table::new(&[
        "balancer",
        "calls",
        "failed",
        "failed of those in the 40 s",
        "given to leaving",
        "most at one endpoint",
        "mean wait, ms",
    ]);
    let least = Plain { least_loaded: true, ..Plain::default() };
    let runs = [
        ("verbenagap", run(site, seed, Ours::default())),
        ("round robin", run(site, seed, Plain::default())),
        ("least loaded", run(site, seed, least)),
    ];
    for (name, tally) in runs {
        table.row(&[
            &name,
            &tally.sent,
            &tally.failed,
            &percent(tally.failed_while as f64 / tally.sent_while.max(1) as f64),
            &tally.to_leaving,
            &tally.most_running,
            &format!("{:.2}", tally.waited as f64 / tally.sent.max(1) as f64),
        ]);
    }
    table.write(out)?;
    Ok(())
}

fn run(site: &Site, seed: u64, mut balancer: impl Balancer) -> Tally {
    let start = Instant::now();
    let mut draw = Draw::new(seed);
    let mut tally = Tally::default();
    let mut list: Vec<EndpointInfo> =
        (0..site.instances).filter_map(|at| endpoint(at, site.zones)).collect();
    balancer.list(1, &list, start);
    let rate = LOAD * site.slots() as f64 / SERVICE_STEPS;
    let mut arrival = draw.pause(rate);
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let mut running: Vec<(u64, Picked, bool)> = Vec::new();
    for step in 0..STEPS {
        let now = start + Duration::from_millis(step);
        if step == LEAVES {
            list[1].leaving = true;
            balancer.list(2, &list, now);
        }
        if step == JOINS {
            list.extend(endpoint(site.instances, site.zones));
            balancer.list(3, &list, now);
        }
        let mut at = 0;
        while at < running.len() {
            if running[at].0 <= step {
                let (_, picked, failed) = running.swap_remove(at);
                balancer.release(picked, failed, now);
            } else {
                at += 1;
            }
        }
        while arrival < step as f64 {
            waiting.push_back(step);
            arrival += draw.pause(rate);
        }
        while let Some(&since) = waiting.front() {
            let Some(picked) = balancer.pick(now) else { break };
            waiting.pop_front();
            let service = draw.service(SERVICE_STEPS).max(1.0) as u64;
            let failed = picked.endpoint == 0 && FAILS.contains(&step);
            tally.sent += 1;
            tally.waited += step - since;
            tally.failed += usize::from(failed);
            tally.sent_while += usize::from(FAILS.contains(&step));
            tally.failed_while += usize::from(failed);
            tally.to_leaving += usize::from(picked.endpoint == 1 && step >= LEAVES);
            running.push((step + if failed { FAIL_STEPS } else { service }, picked, failed));
        }
        tally.most_running = tally.most_running.max(most_running(&running, list.len()));
    }
    tally
}

fn most_running(running: &[(u64, Picked, bool)], endpoints: usize) -> usize {
    let mut counts = vec![0; endpoints];
    running.iter().for_each(|(_, picked, _)| counts[picked.endpoint] += 1);
    counts.into_iter().max().unwrap_or(0)
}

fn endpoint(at: usize, zones: usize) -> Option<EndpointInfo> {
    Some(EndpointInfo {
        id: HostId::from_str(&format!("host-{at}")).ok()?,
        // The port tells the endpoint's place; nothing is ever sent there.
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, at as u16)),
        zone: ZoneId::from_str(&format!("zone-{}", at % zones)).ok()?,
        leaving: false,
    })
}
