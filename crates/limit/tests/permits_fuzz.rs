//! Stateful fuzzing of members' permits and the permit ledger over a network that
//! loses, duplicates and delays messages, against a count of the runs.
//!
//! `VG_FUZZ_CASES` sets the number of cases; the seed is fixed.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use vg_base::prelude::*;
use vg_limit::faults::NoFaults;
use vg_limit::{MemberPermits, PermitLedger, PermitReply, PermitRequest, RunKey};

const MEMBERS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Start {
        at: usize,
        weight: u32,
    },
    Finish {
        at: usize,
    },
    /// Member `to` asks member `from` for permits, and the reply is sent.
    Ask {
        to: usize,
        from: usize,
        permits: u32,
    },
    /// The reply at this position arrives, and may arrive again later.
    Deliver {
        reply: usize,
        again: bool,
    },
    /// The reply at this position is lost.
    Lose {
        reply: usize,
    },
    /// A member proposes changes of the ledger that it applied last, or of the
    /// current one if `latest`. The commit reaches the store only if `delivered`,
    /// and the store's answer is always lost.
    Commit {
        at: usize,
        latest: bool,
        delivered: bool,
    },
    /// A member applies the current ledger.
    Apply {
        at: usize,
    },
    /// The operators set the team's limit.
    Limit(u32),
    Want {
        at: usize,
        permits: u32,
    },
}

/// The reference: every limit that was in force.
#[derive(Debug, Clone, Default)]
struct Limits {
    limits: Vec<u32>,
}

impl ReferenceStateMachine for Limits {
    type State = Limits;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Limits> {
        (1u32..10).prop_map(|limit| Limits { limits: vec![limit] }).boxed()
    }

    fn transitions(_: &Limits) -> BoxedStrategy<Step> {
        let member = || 0..MEMBERS;
        prop_oneof![
            4 => (member(), 1u32..3).prop_map(|(at, weight)| Step::Start { at, weight }),
            3 => member().prop_map(|at| Step::Finish { at }),
            3 => (member(), member(), 1u32..5)
                .prop_map(|(to, from, permits)| Step::Ask { to, from, permits }),
            4 => (0usize..4, any::<bool>())
                .prop_map(|(reply, again)| Step::Deliver { reply, again }),
            1 => (0usize..4).prop_map(|reply| Step::Lose { reply }),
            5 => (member(), any::<bool>(), any::<bool>())
                .prop_map(|(at, latest, delivered)| Step::Commit { at, latest, delivered }),
            3 => member().prop_map(|at| Step::Apply { at }),
            2 => (0u32..10).prop_map(Step::Limit),
            1 => (member(), 0u32..5).prop_map(|(at, permits)| Step::Want { at, permits }),
        ]
        .boxed()
    }

    fn apply(mut state: Limits, step: &Step) -> Limits {
        if let Step::Limit(limit) = step {
            state.limits.push(*limit);
        }
        state
    }
}

struct Cluster {
    epoch: Epoch,
    ledger: PermitLedger,
    /// Every ledger that was in force, by epoch.
    history: BTreeMap<Epoch, PermitLedger>,
    members: Vec<MemberPermits<NoFaults>>,
    runs: Vec<Vec<(RunKey, u32)>>,
    replies: Vec<PermitReply>,
}

fn team() -> TeamId {
    "bakery".parse().unwrap()
}

fn member(index: usize) -> Member {
    Member { node: format!("m{index}").parse().unwrap(), incarnation: Incarnation(1) }
}

impl Cluster {
    fn running(&self) -> u32 {
        self.runs.iter().flatten().map(|(_, weight)| weight).sum()
    }

    fn set_limit(&mut self, limit: u32) {
        let limits = BTreeMap::from([(team(), Permits(limit))]);
        self.ledger.set_limits(self.ledger.revision.next(), limits).unwrap();
        self.next_epoch();
    }

    fn next_epoch(&mut self) {
        self.epoch = self.epoch.next();
        self.history.insert(self.epoch, self.ledger.clone());
    }

    fn apply_ledger(&mut self, at: usize) {
        self.members[at].apply(self.epoch, &self.ledger);
    }

    /// Starts a run, and checks that the runs of all members are within the highest
    /// limit since the epoch of the ledger that the member applied last.
    fn start(&mut self, at: usize, weight: u32) {
        let Ok(key) = self.members[at].try_start_many(&team(), Permits(weight)) else {
            return;
        };
        self.runs[at].push((key, weight));
        let since = self.members[at].epoch();
        let limits = self.history.range(since..).map(|(_, ledger)| ledger.limit(&team()).get());
        let limit = limits.max();
        assert!(Some(self.running()) <= limit, "{} of {limit:?} run", self.running());
    }

    fn ask(&mut self, to: usize, from: usize, permits: u32) {
        let wanted = BTreeMap::from([(team(), Permits(permits))]);
        let request = PermitRequest { from: member(to), to: member(from), wanted };
        self.replies.extend(self.members[from].answer_request(&request));
    }

    fn deliver(&mut self, index: usize, again: bool) {
        let Some(reply) = self.replies.get(index).cloned() else {
            return;
        };
        if !again {
            self.replies.remove(index);
        }
        let to = (0..MEMBERS).find(|at| member(*at) == reply.to).unwrap();
        self.members[to].receive_reply(&reply);
    }

    /// Commits the changes that a member proposes for the ledger that it applied
    /// last. The commit fails if that ledger is no longer the current one, and is lost
    /// unless `delivered`.
    fn commit(&mut self, at: usize, delivered: bool) {
        let known = self.members[at].epoch();
        let changes = self.members[at].propose_changes(known, &self.history[&known]);
        if changes.is_empty() || known != self.epoch || !delivered {
            return;
        }
        let mut ledger = self.ledger.clone();
        if changes.iter().all(|change| ledger.apply_change::<NoFaults>(change).is_ok()) {
            self.ledger = ledger;
            self.next_epoch();
        }
    }
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Cluster;
    type Reference = Limits;

    fn init_test(initial: &Limits) -> Cluster {
        let mut cluster = Cluster {
            epoch: Epoch::ZERO,
            ledger: PermitLedger::default(),
            history: BTreeMap::new(),
            members: (0..MEMBERS).map(|at| MemberPermits::with_faults(member(at))).collect(),
            runs: vec![Vec::new(); MEMBERS],
            replies: Vec::new(),
        };
        (0..MEMBERS).for_each(|at| cluster.ledger.open_account(&member(at)).unwrap());
        cluster.set_limit(initial.limits[0]);
        (0..MEMBERS).for_each(|at| cluster.apply_ledger(at));
        cluster
    }

    fn apply(mut cluster: Cluster, _: &Limits, step: Step) -> Cluster {
        match step {
            Step::Start { at, weight } => cluster.start(at, weight),
            Step::Finish { at } => {
                if let Some((key, _)) = cluster.runs[at].pop() {
                    cluster.members[at].finish(key).unwrap();
                }
            }
            Step::Ask { to, from, permits } if to != from => cluster.ask(to, from, permits),
            Step::Ask { .. } => {}
            Step::Deliver { reply, again } => cluster.deliver(reply, again),
            Step::Lose { reply } => {
                if reply < cluster.replies.len() {
                    cluster.replies.remove(reply);
                }
            }
            Step::Commit { at, latest, delivered } => {
                if latest {
                    cluster.apply_ledger(at);
                }
                cluster.commit(at, delivered);
            }
            Step::Apply { at } => cluster.apply_ledger(at),
            Step::Limit(limit) => cluster.set_limit(limit),
            Step::Want { at, permits } => cluster.members[at].set_wanted(&team(), Permits(permits)),
        }
        cluster
    }

    fn check_invariants(cluster: &Cluster, _: &Limits) {
        for (at, runs) in cluster.runs.iter().enumerate() {
            let running: u32 = runs.iter().map(|(_, weight)| weight).sum();
            let holding = cluster.members[at].holding(&team());
            let counted = holding.map_or(0, |holding| holding.running.get());
            assert_eq!(counted, running);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("VG_FUZZ_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(256),
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more runs than the team's limit: permits that are duplicated by
    /// any order of transfers, lost or repeated messages, returns and commits.
    #[test]
    fn runs_stay_within_the_limit(sequential 1..200 => Cluster);
}
