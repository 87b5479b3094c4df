//! Stateful fuzzing of the endpoints' table against a simple oracle.
//!
//! `VG_FUZZ_CASES` sets the number of cases; the seed is fixed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use vg_base::prelude::*;
use vg_route::{
    CallResult, EndpointInfo, Endpoints, Health, ListRevision, ListUpdate, ProbePolicy, Slot,
};

const HOSTS: u16 = 5;

/// How the list shows one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    Absent,
    Live,
    Leaving,
    /// Live, at another address.
    Replaced,
}

#[derive(Debug, Clone, Copy)]
enum Ended {
    Answered,
    Failed,
    NotReached,
    Unused,
    Lost { after_ms: u64 },
}

#[derive(Debug, Clone)]
enum Step {
    Apply { ahead: i64, shown: [Shown; HOSTS as usize] },
    Acquire { zone: u16, probing: bool },
    Fill,
    Release { at: usize, ended: Ended },
    Advance { ms: u64 },
    Adopt { ms: u64 },
    Prove { host: u16, used: u32 },
}

/// Any step may come at any time, so the generator has no state.
#[derive(Debug)]
struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let shown = prop_oneof![
            1 => Just(Shown::Absent),
            4 => Just(Shown::Live),
            1 => Just(Shown::Leaving),
            1 => Just(Shown::Replaced),
        ];
        let ended = prop_oneof![
            4 => Just(Ended::Answered),
            3 => Just(Ended::Failed),
            1 => Just(Ended::NotReached),
            1 => Just(Ended::Unused),
            2 => (0..4000u64).prop_map(|after_ms| Ended::Lost { after_ms }),
        ];
        prop_oneof![
            1 => (-2..3i64, prop::array::uniform5(shown))
                .prop_map(|(ahead, shown)| Step::Apply { ahead, shown }),
            5 => (0..3u16, any::<bool>()).prop_map(|(zone, probing)| Step::Acquire { zone, probing }),
            1 => Just(Step::Fill),
            6 => (any::<usize>(), ended).prop_map(|(at, ended)| Step::Release { at, ended }),
            2 => (0..3000u64).prop_map(|ms| Step::Advance { ms }),
            1 => (0..3000u64).prop_map(|ms| Step::Adopt { ms }),
            1 => (0..HOSTS, 0..9u32).prop_map(|(host, used)| Step::Prove { host, used }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The table, and what really runs at each address.
#[derive(Debug)]
struct Checked {
    endpoints: Endpoints,
    now: Instant,
    revision: u64,
    shown: [Shown; HOSTS as usize],
    held: Vec<Slot>,
    /// Calls that may run at an address without a slot of ours.
    lost: BTreeMap<SocketAddr, Vec<Instant>>,
    adopted: Option<Instant>,
    /// Addresses that a list in use has shown.
    known: BTreeSet<SocketAddr>,
}

fn info(host: u16, shown: Shown) -> Option<EndpointInfo> {
    let port = match shown {
        Shown::Absent => return None,
        Shown::Live | Shown::Leaving => 1000 + host,
        Shown::Replaced => 2000 + host,
    };
    Some(EndpointInfo {
        id: format!("host-{host}").parse().unwrap(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: format!("zone-{}", host % 3).parse().unwrap(),
        leaving: shown == Shown::Leaving,
    })
}

impl Checked {
    fn apply(&mut self, ahead: i64, shown: [Shown; HOSTS as usize]) {
        let revision = self.revision.saturating_add_signed(ahead);
        let list: Vec<EndpointInfo> =
            (0..HOSTS).filter_map(|host| info(host, shown[host as usize])).collect();
        let applied = self.endpoints.apply(ListRevision(revision), &list, self.now);
        assert_eq!(applied == ListUpdate::Stale, revision <= self.revision);
        if revision > self.revision {
            self.revision = revision;
            self.shown = shown;
            if let Some(until) = self.adopted.filter(|until| *until > self.now) {
                for each in list.iter().filter(|each| !self.known.contains(&each.addr)) {
                    self.lost.insert(each.addr, vec![until; 8]);
                }
            }
            self.known.extend(list.iter().map(|each| each.addr));
        }
    }

    /// The earlier owner can run calls in all slots but those known to be ours
    /// or lost.
    fn adopt(&mut self, until: Instant) {
        self.adopted = Some(self.adopted.map_or(until, |each| each.max(until)));
        for host in 0..HOSTS {
            let Some(info) = info(host, self.shown[host as usize]) else { continue };
            let held = self.held.iter().filter(|slot| slot.addr == info.addr).count();
            let lost = self.lost.entry(info.addr).or_default();
            lost.retain(|each| *each > self.now);
            let others = 8 - held - lost.len();
            lost.extend(std::iter::repeat_n(until, others));
        }
        self.endpoints.assume_busy(until);
    }

    fn acquire(&mut self, zone: u16, probing: ProbePolicy) -> bool {
        let zone = format!("zone-{zone}").parse().unwrap();
        let Some(slot) = self.endpoints.acquire(self.now, Some(&zone), probing) else {
            assert_eq!(self.endpoints.free(self.now), Slots::ZERO, "a free slot was not given");
            return false;
        };
        let open = (0..HOSTS).filter_map(|host| info(host, self.shown[host as usize]));
        let listed = open.into_iter().find(|each| each.addr == slot.addr);
        assert!(listed.is_some_and(|each| !each.leaving), "given to a leaving or gone endpoint");
        self.held.push(slot);
        true
    }

    fn release(&mut self, at: usize, ended: Ended) {
        if self.held.is_empty() {
            return;
        }
        let slot = self.held.swap_remove(at % self.held.len());
        let result = match ended {
            Ended::Answered => CallResult::Answered,
            Ended::Failed => CallResult::Failed,
            Ended::NotReached => CallResult::NotReached,
            Ended::Unused => CallResult::Unused,
            Ended::Lost { after_ms } => {
                let until = self.now + Duration::from_millis(after_ms);
                self.lost.entry(slot.addr).or_default().push(until);
                CallResult::Lost { until }
            }
        };
        self.endpoints.release(slot, result, self.now);
    }

    /// Proof about a host ends the oracle's doubt about it, as far as it goes.
    fn prove(&mut self, host: u16, used: u32) {
        for port in [1000 + host, 2000 + host] {
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            let ours = self.held.iter().filter(|slot| slot.addr == addr).count();
            let left = (used as usize).saturating_sub(ours);
            let lost = self.lost.entry(addr).or_default();
            lost.sort_unstable();
            let surplus = lost.len().saturating_sub(left);
            lost.drain(..surplus);
        }
        self.endpoints.confirm_used(&format!("host-{host}").parse().unwrap(), Slots(used));
    }
}

impl StateMachineTest for Checked {
    type SystemUnderTest = Checked;
    type Reference = AnyOrder;

    fn init_test((): &()) -> Checked {
        let mut checked = Checked {
            endpoints: Endpoints::new(),
            now: Instant::now(),
            revision: 0,
            shown: [Shown::Absent; HOSTS as usize],
            held: Vec::new(),
            lost: BTreeMap::new(),
            adopted: None,
            known: BTreeSet::new(),
        };
        checked.apply(1, [Shown::Live; HOSTS as usize]);
        checked
    }

    fn apply(mut state: Checked, (): &(), step: Step) -> Checked {
        match step {
            Step::Apply { ahead, shown } => state.apply(ahead, shown),
            Step::Acquire { zone, probing } => {
                let probing = if probing { ProbePolicy::Allowed } else { ProbePolicy::Avoided };
                state.acquire(zone, probing);
            }
            Step::Fill => while state.acquire(0, ProbePolicy::Allowed) {},
            Step::Release { at, ended } => state.release(at, ended),
            Step::Advance { ms } => state.now += Duration::from_millis(ms),
            Step::Adopt { ms } => {
                let until = state.now + Duration::from_millis(ms);
                state.adopt(until);
            }
            Step::Prove { host, used } => state.prove(host, used),
        }
        state
    }

    fn check_invariants(state: &Checked, (): &()) {
        let mut used: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for slot in &state.held {
            *used.entry(slot.addr).or_default() += 1;
        }
        for (addr, lost) in &state.lost {
            let still = lost.iter().filter(|until| **until > state.now).count();
            *used.entry(*addr).or_default() += still;
        }
        for (addr, count) in used {
            assert!(count <= 8, "{count} calls can run at {addr}");
        }
        let stats = state.endpoints.stats();
        assert!(stats.iter().all(|each| each.used <= Slots(8)));
        // Endpoints that left since may have raised the part afterwards.
        let ejected = stats.iter().filter(|each| each.health != Health::Healthy).count();
        assert!(ejected < stats.len().max(2));
    }
}

fn config() -> Config {
    let cases = std::env::var("VG_FUZZ_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn eight_calls_at_most_and_none_to_leaving(sequential 1..150 => Checked);
}
