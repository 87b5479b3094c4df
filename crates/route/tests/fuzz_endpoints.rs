//! Stateful fuzzing of the endpoint table against a simple model.
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

/// How the host list shows one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    Absent,
    Live,
    Leaving,
    /// The host is live, at another address.
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
    AssumeBusy { ms: u64 },
    ConfirmUsed { host: u16, used: u32 },
}

/// The reference state machine, which has no state because any step may come at any
/// time.
#[derive(Debug)]
struct StatelessReference;

impl ReferenceStateMachine for StatelessReference {
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
            1 => (0..3000u64).prop_map(|ms| Step::AssumeBusy { ms }),
            1 => (0..HOSTS, 0..9u32).prop_map(|(host, used)| Step::ConfirmUsed { host, used }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The table, and the model's record of the calls that may run at each address.
#[derive(Debug)]
struct ModelCheck {
    endpoints: Endpoints,
    now: Instant,
    revision: u64,
    shown: [Shown; HOSTS as usize],
    held: Vec<Slot>,
    /// Calls that may run at an address without a slot that is held, by the time
    /// until which each may run.
    lost: BTreeMap<SocketAddr, Vec<Instant>>,
    assumed_until: Option<Instant>,
    /// Addresses that an applied list has shown.
    known_addrs: BTreeSet<SocketAddr>,
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

impl ModelCheck {
    fn apply(&mut self, ahead: i64, shown: [Shown; HOSTS as usize]) {
        let revision = self.revision.saturating_add_signed(ahead);
        let list: Vec<EndpointInfo> =
            (0..HOSTS).filter_map(|host| info(host, shown[host as usize])).collect();
        let applied = self.endpoints.apply(ListRevision(revision), &list, self.now);
        assert_eq!(applied == ListUpdate::Stale, revision <= self.revision);
        if revision > self.revision {
            self.revision = revision;
            self.shown = shown;
            if let Some(until) = self.assumed_until.filter(|until| *until > self.now) {
                for each in list.iter().filter(|each| !self.known_addrs.contains(&each.addr)) {
                    self.lost.insert(each.addr, vec![until; 8]);
                }
            }
            self.known_addrs.extend(list.iter().map(|each| each.addr));
        }
    }

    /// A lost owner may run calls in all slots except those of this owner's running
    /// and lost calls.
    fn assume_busy(&mut self, until: Instant) {
        self.assumed_until = Some(self.assumed_until.map_or(until, |each| each.max(until)));
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
            assert_eq!(
                self.endpoints.free(self.now),
                Slots::ZERO,
                "a free slot exists and was not returned"
            );
            return false;
        };
        let open = (0..HOSTS).filter_map(|host| info(host, self.shown[host as usize]));
        let listed = open.into_iter().find(|each| each.addr == slot.addr);
        assert!(
            listed.is_some_and(|each| !each.leaving),
            "the slot is of a leaving or unlisted endpoint"
        );
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

    /// Proof about a host's slots removes the calls that may otherwise run there.
    fn confirm_used(&mut self, host: u16, used: u32) {
        for port in [1000 + host, 2000 + host] {
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            let held = self.held.iter().filter(|slot| slot.addr == addr).count();
            let left = (used as usize).saturating_sub(held);
            let lost = self.lost.entry(addr).or_default();
            lost.sort_unstable();
            let surplus = lost.len().saturating_sub(left);
            lost.drain(..surplus);
        }
        self.endpoints.confirm_used(&format!("host-{host}").parse().unwrap(), Slots(used));
    }
}

impl StateMachineTest for ModelCheck {
    type SystemUnderTest = ModelCheck;
    type Reference = StatelessReference;

    fn init_test((): &()) -> ModelCheck {
        let mut state = ModelCheck {
            endpoints: Endpoints::new(),
            now: Instant::now(),
            revision: 0,
            shown: [Shown::Absent; HOSTS as usize],
            held: Vec::new(),
            lost: BTreeMap::new(),
            assumed_until: None,
            known_addrs: BTreeSet::new(),
        };
        state.apply(1, [Shown::Live; HOSTS as usize]);
        state
    }

    fn apply(mut state: ModelCheck, (): &(), step: Step) -> ModelCheck {
        match step {
            Step::Apply { ahead, shown } => state.apply(ahead, shown),
            Step::Acquire { zone, probing } => {
                let probing = if probing { ProbePolicy::Allowed } else { ProbePolicy::Avoided };
                state.acquire(zone, probing);
            }
            Step::Fill => while state.acquire(0, ProbePolicy::Allowed) {},
            Step::Release { at, ended } => state.release(at, ended),
            Step::Advance { ms } => state.now += Duration::from_millis(ms),
            Step::AssumeBusy { ms } => {
                let until = state.now + Duration::from_millis(ms);
                state.assume_busy(until);
            }
            Step::ConfirmUsed { host, used } => state.confirm_used(host, used),
        }
        state
    }

    fn check_invariants(state: &ModelCheck, (): &()) {
        let mut used: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for slot in &state.held {
            *used.entry(slot.addr).or_default() += 1;
        }
        for (addr, lost) in &state.lost {
            let running = lost.iter().filter(|until| **until > state.now).count();
            *used.entry(*addr).or_default() += running;
        }
        for (addr, count) in used {
            assert!(count <= 8, "{count} calls can run at {addr}");
        }
        let stats = state.endpoints.stats();
        assert!(stats.iter().all(|each| each.used <= Slots(8)));
        // The ejected fraction may be above its limit, because healthy endpoints may
        // have left after the ejections.
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

    /// Guards against more than eight calls that can run at one address, and against
    /// calls to endpoints that the host list shows as leaving or does not show, in any
    /// order of steps.
    #[test]
    fn slots_stay_within_limits_and_skip_leaving(sequential 1..150 => ModelCheck);
}
