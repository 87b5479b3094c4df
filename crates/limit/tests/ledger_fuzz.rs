//! Ledgers, a book and a careless network against a simple count.

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
    /// `to` asks `from`; the answer is on its way.
    Ask {
        to: usize,
        from: usize,
        units: u32,
    },
    /// The answer at this position arrives; it may arrive again.
    Arrive {
        answer: usize,
        again: bool,
    },
    Lose {
        answer: usize,
    },
    /// A member proposes against the book that it knows or the latest; the
    /// commit may be lost, and its answer always is.
    Commit {
        at: usize,
        latest: bool,
        done: bool,
    },
    /// A member learns of the book.
    Learn {
        at: usize,
    },
    Limit(u32),
    Want {
        at: usize,
        units: u32,
    },
}

/// The count: what runs, and the limits since each member's book.
#[derive(Debug, Clone, Default)]
struct Count {
    limits: Vec<u32>,
}

impl ReferenceStateMachine for Count {
    type State = Count;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Count> {
        (1u32..10).prop_map(|limit| Count { limits: vec![limit] }).boxed()
    }

    fn transitions(_: &Count) -> BoxedStrategy<Step> {
        let member = || 0..MEMBERS;
        prop_oneof![
            4 => (member(), 1u32..3).prop_map(|(at, weight)| Step::Start { at, weight }),
            3 => member().prop_map(|at| Step::Finish { at }),
            3 => (member(), member(), 1u32..5)
                .prop_map(|(to, from, units)| Step::Ask { to, from, units }),
            4 => (0usize..4, any::<bool>())
                .prop_map(|(answer, again)| Step::Arrive { answer, again }),
            1 => (0usize..4).prop_map(|answer| Step::Lose { answer }),
            5 => (member(), any::<bool>(), any::<bool>())
                .prop_map(|(at, latest, done)| Step::Commit { at, latest, done }),
            3 => member().prop_map(|at| Step::Learn { at }),
            2 => (0u32..10).prop_map(Step::Limit),
            1 => (member(), 0u32..5).prop_map(|(at, units)| Step::Want { at, units }),
        ]
        .boxed()
    }

    fn apply(mut state: Count, step: &Step) -> Count {
        if let Step::Limit(limit) = step {
            state.limits.push(*limit);
        }
        state
    }
}

struct Site {
    epoch: Epoch,
    book: PermitLedger,
    /// Every book that there was.
    books: BTreeMap<Epoch, PermitLedger>,
    ledgers: Vec<MemberPermits<NoFaults>>,
    runs: Vec<Vec<(RunKey, u32)>>,
    answers: Vec<PermitReply>,
}

fn team() -> TeamId {
    "bakery".parse().unwrap()
}

fn member(index: usize) -> Member {
    Member { node: format!("m{index}").parse().unwrap(), incarnation: Incarnation(1) }
}

impl Site {
    fn running(&self) -> u32 {
        self.runs.iter().flatten().map(|(_, weight)| weight).sum()
    }

    fn set_limit(&mut self, limit: u32) {
        let limits = BTreeMap::from([(team(), Units(limit))]);
        self.book.set_limits(self.book.revision.next(), limits).unwrap();
        self.next_epoch();
    }

    fn next_epoch(&mut self) {
        self.epoch = self.epoch.next();
        self.books.insert(self.epoch, self.book.clone());
    }

    fn learn(&mut self, at: usize) {
        self.ledgers[at].apply(self.epoch, &self.book);
    }

    fn start(&mut self, at: usize, weight: u32) {
        let Ok(key) = self.ledgers[at].try_start_many(&team(), Units(weight)) else {
            return;
        };
        self.runs[at].push((key, weight));
        let since = self.ledgers[at].epoch();
        let limits = self.books.range(since..).map(|(_, book)| book.limit(&team()).get());
        let limit = limits.max();
        assert!(Some(self.running()) <= limit, "{} of {limit:?} run", self.running());
    }

    fn ask(&mut self, to: usize, from: usize, units: u32) {
        let wanted = BTreeMap::from([(team(), Units(units))]);
        let request = PermitRequest { from: member(to), to: member(from), wanted };
        self.answers.extend(self.ledgers[from].answer_request(&request));
    }

    fn arrive(&mut self, answer: usize, again: bool) {
        let Some(reply) = self.answers.get(answer).cloned() else {
            return;
        };
        if !again {
            self.answers.remove(answer);
        }
        let to = (0..MEMBERS).find(|at| member(*at) == reply.to).unwrap();
        self.ledgers[to].receive_reply(&reply);
    }

    /// Commits against the book that the member knows; fails if it is old.
    fn commit(&mut self, at: usize, done: bool) {
        let known = self.ledgers[at].epoch();
        let changes = self.ledgers[at].propose_changes(known, &self.books[&known]);
        if changes.is_empty() || known != self.epoch || !done {
            return;
        }
        let mut book = self.book.clone();
        if changes.iter().all(|change| book.apply_change::<NoFaults>(change).is_ok()) {
            self.book = book;
            self.next_epoch();
        }
    }
}

impl StateMachineTest for Site {
    type SystemUnderTest = Site;
    type Reference = Count;

    fn init_test(count: &Count) -> Site {
        let mut site = Site {
            epoch: Epoch::ZERO,
            book: PermitLedger::default(),
            books: BTreeMap::new(),
            ledgers: (0..MEMBERS).map(|at| MemberPermits::with_faults(member(at))).collect(),
            runs: vec![Vec::new(); MEMBERS],
            answers: Vec::new(),
        };
        (0..MEMBERS).for_each(|at| site.book.open_account(&member(at)).unwrap());
        site.set_limit(count.limits[0]);
        (0..MEMBERS).for_each(|at| site.learn(at));
        site
    }

    fn apply(mut site: Site, _: &Count, step: Step) -> Site {
        match step {
            Step::Start { at, weight } => site.start(at, weight),
            Step::Finish { at } => {
                if let Some((key, _)) = site.runs[at].pop() {
                    site.ledgers[at].finish(key).unwrap();
                }
            }
            Step::Ask { to, from, units } if to != from => site.ask(to, from, units),
            Step::Ask { .. } => {}
            Step::Arrive { answer, again } => site.arrive(answer, again),
            Step::Lose { answer } => {
                if answer < site.answers.len() {
                    site.answers.remove(answer);
                }
            }
            Step::Commit { at, latest, done } => {
                if latest {
                    site.learn(at);
                }
                site.commit(at, done);
            }
            Step::Learn { at } => site.learn(at),
            Step::Limit(limit) => site.set_limit(limit),
            Step::Want { at, units } => site.ledgers[at].set_wanted(&team(), Units(units)),
        }
        site
    }

    fn check_invariants(site: &Site, _: &Count) {
        for (at, runs) in site.runs.iter().enumerate() {
            let running: u32 = runs.iter().map(|(_, weight)| weight).sum();
            let holding = site.ledgers[at].holding(&team());
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

    #[test]
    fn no_more_runs_than_the_limit(sequential 1..200 => Site);
}
