//! Single cases of endpoints: slots, leaving, ejection and change of owner.

use std::net::{Ipv4Addr, SocketAddr};

use vg_base::prelude::*;
use vg_route::{
    BusySlots, CallResult, EndpointChange, EndpointInfo, Endpoints, Health, ListRevision,
    ListUpdate, ProbePolicy, Slot,
};

fn info(at: u16) -> EndpointInfo {
    EndpointInfo {
        id: format!("host-{at}").parse().unwrap(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + at)),
        zone: format!("zone-{}", at % 3).parse().unwrap(),
        leaving: false,
    }
}

fn endpoints(count: u16, now: Instant) -> Endpoints {
    let mut endpoints = Endpoints::new();
    let list: Vec<EndpointInfo> = (0..count).map(info).collect();
    endpoints.apply(ListRevision(1), &list, now);
    endpoints
}

fn acquire(endpoints: &mut Endpoints, now: Instant) -> Option<Slot> {
    endpoints.acquire(now, None, ProbePolicy::Allowed)
}

/// Uses all slots and ends the calls, those of `bad` as failed, until `bad` is ejected.
fn eject(endpoints: &mut Endpoints, bad: &str, now: Instant) {
    for _ in 0..20 {
        let slots: Vec<Slot> = std::iter::from_fn(|| acquire(endpoints, now)).collect();
        for slot in slots {
            let failed = slot.host.as_str() == bad;
            let result = if failed { CallResult::Failed } else { CallResult::Answered };
            endpoints.release(slot, result, now);
        }
    }
    let stats = endpoints.stats();
    let found = stats.iter().find(|each| each.host.as_str() == bad).unwrap();
    assert_ne!(found.health, Health::Healthy);
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against more than eight calls at one instance, and against slots that are not
/// used.
#[test]
fn an_instance_runs_at_most_eight_calls() {
    let now = Instant::now();
    let mut endpoints = endpoints(2, now);
    let slots: Vec<Slot> = std::iter::from_fn(|| acquire(&mut endpoints, now)).collect();
    assert_eq!(slots.len(), 16);
    for at in [1000, 1001] {
        assert_eq!(slots.iter().filter(|slot| slot.addr.port() == at).count(), 8);
    }
}

/// Guards against a ninth call at an instance: the connection of a call broke, but the call
/// may still be running there.
#[test]
fn a_lost_call_keeps_its_slot_until_its_deadline() {
    let now = Instant::now();
    let mut endpoints = endpoints(1, now);
    let mut slots: Vec<Slot> = std::iter::from_fn(|| acquire(&mut endpoints, now)).collect();
    let until = now + ms(500);
    endpoints.release(slots.remove(0), CallResult::Lost { until }, now);
    assert!(acquire(&mut endpoints, now + ms(499)).is_none());
    assert!(acquire(&mut endpoints, until).is_some());
}

/// Guards against calls to an endpoint that is about to stop, and against running calls
/// that are cut off there.
#[test]
fn a_leaving_endpoint_gets_no_new_calls() {
    let now = Instant::now();
    let mut endpoints = endpoints(2, now);
    let running = acquire(&mut endpoints, now).unwrap();
    let mut list = vec![info(0), info(1)];
    list.iter_mut().find(|each| each.addr == running.addr).unwrap().leaving = true;
    let applied = endpoints.apply(ListRevision(2), &list, now);
    assert_eq!(applied, ListUpdate::Applied(vec![EndpointChange::Leaving(running.host.clone())]));
    let given: Vec<Slot> = std::iter::from_fn(|| acquire(&mut endpoints, now)).collect();
    assert!(given.len() == 8 && given.iter().all(|slot| slot.host != running.host));
    endpoints.release(running, CallResult::Answered, now);
}

/// Guards against a delayed or duplicate host list that replaces a newer one.
#[test]
fn old_and_duplicate_lists_are_ignored() {
    let now = Instant::now();
    let mut endpoints = endpoints(2, now);
    assert!(matches!(endpoints.apply(ListRevision(5), &[info(0)], now), ListUpdate::Applied(_)));
    for revision in [5, 4] {
        let applied = endpoints.apply(ListRevision(revision), &[info(0), info(1)], now);
        assert_eq!(applied, ListUpdate::Stale);
    }
    assert_eq!(endpoints.stats().len(), 1);
}

/// Guards against more than eight calls at an instance that one host list lacked and the
/// next one has again, while its calls were running.
#[test]
fn a_relisted_endpoint_keeps_its_running_calls() {
    let now = Instant::now();
    let mut endpoints = endpoints(1, now);
    let slots: Vec<Slot> = std::iter::from_fn(|| acquire(&mut endpoints, now)).collect();
    assert_eq!(slots.len(), 8);
    endpoints.apply(ListRevision(2), &[], now);
    endpoints.apply(ListRevision(3), &[info(0)], now);
    assert!(acquire(&mut endpoints, now + ms(60_000)).is_none());
}

/// Guards against an endpoint that gets most calls, because it fails them at once and looks
/// idle.
#[test]
fn a_fast_failing_endpoint_does_not_attract_load() {
    let mut now = Instant::now();
    let mut endpoints = endpoints(6, now);
    let mut slow: Vec<(Instant, Slot)> = Vec::new();
    let mut failed = 0;
    for _ in 0..2000 {
        now += ms(5);
        while let Some(at) = slow.iter().position(|(end, _)| *end <= now) {
            endpoints.release(slow.swap_remove(at).1, CallResult::Answered, now);
        }
        let slot = acquire(&mut endpoints, now).unwrap();
        if slot.host.as_str() == "host-3" {
            failed += 1;
            endpoints.release(slot, CallResult::Failed, now);
        } else {
            slow.push((now + ms(100), slot));
        }
    }
    // Five consecutive failures, and then probes after 2, 4 and so on of the ten
    // seconds.
    assert!(failed <= 5 + 3, "{failed}");
}

/// Guards against a pool without usable endpoints, because most of them were ejected in a
/// general failure.
#[test]
fn at_most_a_third_of_endpoints_is_ejected() {
    let now = Instant::now();
    let mut endpoints = endpoints(9, now);
    for _ in 0..40 {
        let slots: Vec<Slot> = std::iter::from_fn(|| acquire(&mut endpoints, now)).collect();
        for slot in slots {
            let bad = slot.addr.port() < 1006;
            let result = if bad { CallResult::Failed } else { CallResult::Answered };
            endpoints.release(slot, result, now);
        }
    }
    let ejected = endpoints.stats().iter().filter(|each| each.health != Health::Healthy).count();
    assert_eq!(ejected, 3);
}

/// Guards against many calls that fail at an endpoint that has not recovered, and against
/// an endpoint that is never used again.
#[test]
fn an_ejected_endpoint_is_probed_and_restored() {
    let mut now = Instant::now();
    let mut endpoints = endpoints(4, now);
    eject(&mut endpoints, "host-0", now);
    now += ms(2001);
    let probe = acquire(&mut endpoints, now).unwrap();
    assert_eq!(probe.host.as_str(), "host-0");
    assert_ne!(acquire(&mut endpoints, now).unwrap().host, probe.host);
    assert_eq!(endpoints.release(probe, CallResult::Answered, now), None);
    let probe = acquire(&mut endpoints, now).unwrap();
    assert_eq!(endpoints.release(probe, CallResult::Answered, now), Some(Health::Healthy));
}

/// Guards against a call that may not be retried but is sent to an endpoint that failed
/// before, and against an endpoint that is never probed because no call may be retried.
#[test]
fn a_call_that_must_run_once_is_not_an_early_probe() {
    let mut now = Instant::now();
    let mut endpoints = endpoints(4, now);
    eject(&mut endpoints, "host-0", now);
    now += ms(2001);
    let slot = endpoints.acquire(now, None, ProbePolicy::Avoided).unwrap();
    assert_ne!(slot.host.as_str(), "host-0");
    now += ms(4000);
    let slot = endpoints.acquire(now, None, ProbePolicy::Avoided).unwrap();
    assert_eq!(slot.host.as_str(), "host-0", "the endpoint is still probed in the end");
}

/// Guards against more than eight calls at an instance, because calls of a lost owner are
/// still running there.
#[test]
fn a_new_owner_assumes_all_slots_in_use() {
    let now = Instant::now();
    let until = now + ms(1000);
    let mut endpoints = Endpoints::new();
    endpoints.assume_busy(until);
    endpoints.apply(ListRevision(1), &[info(0), info(1)], now);
    assert!(acquire(&mut endpoints, now).is_none());
    // The lost owner may have known the third endpoint from a newer list.
    endpoints.apply(ListRevision(2), &[info(0), info(1), info(2)], now);
    assert!(acquire(&mut endpoints, now).is_none());
    endpoints.confirm_used(&"host-0".parse().unwrap(), Slots(3));
    let slots: Vec<Slot> = std::iter::from_fn(|| acquire(&mut endpoints, now)).collect();
    assert!(slots.len() == 5 && slots.iter().all(|slot| slot.host.as_str() == "host-0"));
    assert!(acquire(&mut endpoints, until).is_some());
}

/// Guards against more than eight calls at an instance after a planned handover, and
/// against slots that stay in use for ever.
#[test]
fn a_handover_transfers_the_used_slots() {
    let now = Instant::now();
    let mut old = endpoints(2, now);
    let slots: Vec<Slot> = (0..3).map(|_| acquire(&mut old, now).unwrap()).collect();
    let mut new = endpoints(2, now);
    new.import(&old.export(ms(700), now), now);
    assert_eq!(new.free(now), Slots(16 - slots.len() as u32));
    new.expire(now + ms(700));
    assert_eq!(new.free(now + ms(700)), Slots(16));
}

/// Guards against traffic between zones without need, and against calls that wait although
/// another zone has free slots.
#[test]
fn the_same_zone_is_preferred_at_similar_load() {
    let now = Instant::now();
    let mut endpoints = endpoints(3, now);
    let zone: ZoneId = "zone-2".parse().unwrap();
    let first = endpoints.acquire(now, Some(&zone), ProbePolicy::Allowed).unwrap();
    assert_eq!(first.host.as_str(), "host-2");
    let slots = std::iter::from_fn(|| endpoints.acquire(now, Some(&zone), ProbePolicy::Allowed));
    assert_eq!(slots.count(), 23, "the other zones are used before any call waits");
}

/// Guards against a new endpoint that gets all of its calls at once before it has warmed
/// up.
#[test]
fn a_new_endpoint_starts_with_few_slots() {
    let now = Instant::now();
    let mut endpoints = endpoints(1, now);
    endpoints.apply(ListRevision(2), &[info(0), info(1)], now);
    assert_eq!(endpoints.capacity(now), Slots(8 + 2));
    assert_eq!(endpoints.capacity(now + Duration::from_secs(6)), Slots(16));
}

/// Guards against more connections to an instance than it accepts, and against closed
/// connections that still count.
#[test]
fn an_instance_has_at_most_64_connections() {
    let now = Instant::now();
    let mut endpoints = endpoints(1, now);
    let key = acquire(&mut endpoints, now).unwrap().endpoint;
    assert_eq!((0..100).filter(|_| endpoints.connect(key)).count(), 64);
    endpoints.disconnect(key);
    assert!(endpoints.connect(key));
}

/// Guards against slots that stay in use until their deadline although the earlier owner
/// reported that their calls have ended.
#[test]
fn reported_slots_of_an_earlier_owner_become_free() {
    let now = Instant::now();
    let mut endpoints = Endpoints::new();
    let info = EndpointInfo {
        id: "host-0".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        leaving: false,
    };
    endpoints.apply(ListRevision(1), &[info], now);
    let busy = |slots| BusySlots {
        host: "host-0".parse().unwrap(),
        slots: Slots(slots),
        remaining: Duration::from_secs(5),
    };
    endpoints.import(&[busy(8)], now);
    assert!(endpoints.acquire(now, None, ProbePolicy::Avoided).is_none());
    endpoints.update_inherited(&[busy(6)]);
    let first = endpoints.acquire(now, None, ProbePolicy::Avoided).unwrap();
    assert!(endpoints.acquire(now, None, ProbePolicy::Avoided).is_some());
    assert!(endpoints.acquire(now, None, ProbePolicy::Avoided).is_none());
    // The report of the earlier owner does not free a lost call of this owner.
    let until = now + Duration::from_secs(9);
    endpoints.release(first, CallResult::Lost { until }, now);
    endpoints.update_inherited(&[]);
    assert_eq!(endpoints.free(now), Slots(6));
}
