//! Measures endpoint selection in a pool with an endpoint that fails fast, one that leaves
//! and one that joins.

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

/// Length of a run, in steps of 1 ms.
const STEPS: u64 = 120_000;
/// Steps during which the first endpoint fails every call.
const FAILURE_STEPS: std::ops::Range<u64> = 20_000..60_000;
/// Step at which the list shows the second endpoint as leaving.
const LEAVE_STEP: u64 = 70_000;
/// Step at which the list shows a new endpoint.
const JOIN_STEP: u64 = 80_000;
/// Run time of a call that fails, in steps.
const FAILED_CALL_STEPS: u64 = 2;
/// Mean run time of a call, in steps.
const SERVICE_STEPS: f64 = 80.0;
/// Load as a fraction of the capacity of the pool.
const LOAD: f64 = 0.7;
/// Number of slots of an endpoint.
const SLOTS_PER_ENDPOINT: usize = 8;

/// Chooses the endpoints of calls.
trait Balancer {
    /// Applies a revision of the host list.
    fn apply_list(&mut self, revision: u64, list: &[EndpointInfo], now: Instant);

    /// Acquires a slot, or returns `None` if no slot is free.
    fn acquire(&mut self, now: Instant) -> Option<AcquiredSlot>;

    /// Releases a slot after a call that failed or succeeded.
    fn release(&mut self, acquired: AcquiredSlot, failed: bool, now: Instant);
}

/// An acquired slot, with the index of its endpoint in the list.
#[derive(Debug)]
struct AcquiredSlot {
    endpoint: usize,
    slot: Option<Slot>,
}

/// The endpoint selection of the product.
#[derive(Debug, Default)]
struct ProductBalancer {
    endpoints: Endpoints,
}

impl Balancer for ProductBalancer {
    fn apply_list(&mut self, revision: u64, list: &[EndpointInfo], now: Instant) {
        self.endpoints.apply(ListRevision(revision), list, now);
    }

    fn acquire(&mut self, now: Instant) -> Option<AcquiredSlot> {
        let slot = self.endpoints.acquire(now, None, ProbePolicy::Allowed)?;
        let endpoint = usize::from(slot.addr.port());
        Some(AcquiredSlot { endpoint, slot: Some(slot) })
    }

    fn release(&mut self, acquired: AcquiredSlot, failed: bool, now: Instant) {
        let result = if failed { CallResult::Failed } else { CallResult::Answered };
        if let Some(slot) = acquired.slot {
            self.endpoints.release(slot, result, now);
        }
    }
}

/// Baseline: chooses the next endpoint in turn or the least loaded one, and ignores
/// failures.
#[derive(Debug, Default)]
struct SimpleBalancer {
    least_loaded: bool,
    list: Vec<EndpointInfo>,
    /// Number of slots in use by endpoint.
    used: Vec<usize>,
    /// Index at which the search for a free slot starts.
    next_index: usize,
}

impl Balancer for SimpleBalancer {
    fn apply_list(&mut self, _: u64, list: &[EndpointInfo], _: Instant) {
        self.list = list.to_vec();
        self.used.resize(list.len(), 0);
    }

    fn acquire(&mut self, _: Instant) -> Option<AcquiredSlot> {
        let count = self.list.len();
        let indices = (0..count).map(|offset| (self.next_index + offset) % count);
        let mut open = indices
            .filter(|&index| !self.list[index].leaving && self.used[index] < SLOTS_PER_ENDPOINT);
        let least_loaded = self.least_loaded;
        let endpoint =
            if least_loaded { open.min_by_key(|&index| self.used[index]) } else { open.next() };
        let endpoint = endpoint?;
        self.next_index = endpoint + 1;
        self.used[endpoint] += 1;
        Some(AcquiredSlot { endpoint, slot: None })
    }

    fn release(&mut self, acquired: AcquiredSlot, _: bool, _: Instant) {
        self.used[acquired.endpoint] -= 1;
    }
}

/// The figures of one run.
#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    failed: usize,
    /// Failed calls of those sent during [`FAILURE_STEPS`].
    failed_in_failure: usize,
    /// Calls sent during [`FAILURE_STEPS`].
    sent_in_failure: usize,
    /// Calls sent to the leaving endpoint after the list showed it as leaving.
    sent_to_leaving: usize,
    /// Largest number of calls that ran at one endpoint at once.
    max_running: usize,
    /// Time that calls waited for a slot, in steps.
    waited_steps: u64,
}

/// Runs each balancer and prints a table.
pub(super) fn report(site: &Site, seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nendpoints: one fails every call in 2 ms for 40 s, one leaves, one joins")?;
    let mut table = Table::new(&[
        "balancer",
        "calls",
        "failed",
        "failed during the 40 s",
        "sent to leaving",
        "most at one endpoint",
        "mean wait, ms",
    ]);
    let least = SimpleBalancer { least_loaded: true, ..SimpleBalancer::default() };
    let runs = [
        ("verbenagap", run(site, seed, ProductBalancer::default())),
        ("round robin", run(site, seed, SimpleBalancer::default())),
        ("least loaded", run(site, seed, least)),
    ];
    for (name, tally) in runs {
        table.row(&[
            &name,
            &tally.sent,
            &tally.failed,
            &percent(tally.failed_in_failure as f64 / tally.sent_in_failure.max(1) as f64),
            &tally.sent_to_leaving,
            &tally.max_running,
            &format!("{:.2}", tally.waited_steps as f64 / tally.sent.max(1) as f64),
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Simulates the pool under a balancer.
fn run(site: &Site, seed: u64, mut balancer: impl Balancer) -> Tally {
    let start = Instant::now();
    let mut draw = Draw::new(seed);
    let mut tally = Tally::default();
    let mut list: Vec<EndpointInfo> =
        (0..site.endpoints).filter_map(|index| endpoint(index, site.zones)).collect();
    balancer.apply_list(1, &list, start);
    let rate = LOAD * site.slots() as f64 / SERVICE_STEPS;
    let mut arrival = draw.pause(rate);
    let mut waiting: VecDeque<u64> = VecDeque::new();
    // The running calls: step at which the call ends, its slot, and whether the call fails.
    let mut running: Vec<(u64, AcquiredSlot, bool)> = Vec::new();
    for step in 0..STEPS {
        let now = start + Duration::from_millis(step);
        if step == LEAVE_STEP {
            list[1].leaving = true;
            balancer.apply_list(2, &list, now);
        }
        if step == JOIN_STEP {
            list.extend(endpoint(site.endpoints, site.zones));
            balancer.apply_list(3, &list, now);
        }
        let mut index = 0;
        while index < running.len() {
            if running[index].0 <= step {
                let (_, acquired, failed) = running.swap_remove(index);
                balancer.release(acquired, failed, now);
            } else {
                index += 1;
            }
        }
        while arrival < step as f64 {
            waiting.push_back(step);
            arrival += draw.pause(rate);
        }
        while let Some(&since) = waiting.front() {
            let Some(acquired) = balancer.acquire(now) else { break };
            waiting.pop_front();
            let service = draw.service(SERVICE_STEPS).max(1.0) as u64;
            let failed = acquired.endpoint == 0 && FAILURE_STEPS.contains(&step);
            tally.sent += 1;
            tally.waited_steps += step - since;
            tally.failed += usize::from(failed);
            tally.sent_in_failure += usize::from(FAILURE_STEPS.contains(&step));
            tally.failed_in_failure += usize::from(failed);
            tally.sent_to_leaving += usize::from(acquired.endpoint == 1 && step >= LEAVE_STEP);
            running.push((
                step + if failed { FAILED_CALL_STEPS } else { service },
                acquired,
                failed,
            ));
        }
        tally.max_running = tally.max_running.max(max_running(&running, list.len()));
    }
    tally
}

/// Returns the largest number of calls that run at one endpoint.
fn max_running(running: &[(u64, AcquiredSlot, bool)], endpoints: usize) -> usize {
    let mut counts = vec![0; endpoints];
    running.iter().for_each(|(_, acquired, _)| counts[acquired.endpoint] += 1);
    counts.into_iter().max().unwrap_or(0)
}

/// Returns the entry of an endpoint in the host list.
fn endpoint(index: usize, zones: usize) -> Option<EndpointInfo> {
    Some(EndpointInfo {
        id: HostId::from_str(&format!("host-{index}")).ok()?,
        // The port holds the index of the endpoint. Nothing is sent to this address.
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16)),
        zone: ZoneId::from_str(&format!("zone-{}", index % zones)).ok()?,
        leaving: false,
    })
}
