//! Stateful fuzzing of receipts over changes of owner, losses of members, and
//! delayed, duplicate and lost messages, against a model that counts runs.
//!
//! `VG_FUZZ_CASES` sets the number of cases; the seed is fixed.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use vg_base::prelude::*;
use vg_route::{
    Answer, BeginOutcome, Fingerprint, KeyedRequest, ReceiptKey, ReceiptLimits, ReceiptName,
    Receipts, RequestKey,
};

const NODES: usize = 4;
const KEYS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(5);
const RETENTION: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
enum Step {
    /// A caller sends a key to an entry host, which forwards it.
    Send {
        ingress: usize,
        key: usize,
    },
    /// The owner receives a forwarded call. The message arrives again later if `again`.
    Receive {
        at: usize,
        again: bool,
    },
    /// A call that was allowed to run is written to an endpoint.
    Write {
        at: usize,
    },
    /// A call ends at the owner, which sends the outcome to the ingress, the entry
    /// host that forwarded the call. The owner has the answer if `known`.
    End {
        at: usize,
        known: bool,
    },
    /// The ingress receives the outcome of its call.
    Resolve {
        at: usize,
    },
    /// A message is lost.
    Lose {
        at: usize,
    },
    /// A member is lost, and another process starts in its place without receipts.
    Crash {
        node: usize,
    },
    /// The owner's lease expires because the owner is cut off or paused, and the next
    /// member takes the pool over.
    LeaseExpires,
    Advance {
        ms: u64,
    },
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
        let at = || any::<usize>();
        prop_oneof![
            6 => (0..NODES, 0..KEYS).prop_map(|(ingress, key)| Step::Send { ingress, key }),
            6 => (at(), prop::bool::weighted(0.2))
                .prop_map(|(at, again)| Step::Receive { at, again }),
            6 => at().prop_map(|at| Step::Write { at }),
            5 => (at(), prop::bool::weighted(0.7)).prop_map(|(at, known)| Step::End { at, known }),
            5 => at().prop_map(|at| Step::Resolve { at }),
            1 => at().prop_map(|at| Step::Lose { at }),
            1 => (0..NODES).prop_map(|node| Step::Crash { node }),
            1 => Just(Step::LeaseExpires),
            2 => (0..4000u64).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// One process of a member.
#[derive(Debug)]
struct Node {
    member: Member,
    receipts: Receipts,
}

/// A message with a forwarded call, to the member that owned the pool when the call
/// was sent.
#[derive(Debug, Clone)]
struct Forward {
    ingress: Member,
    owner: Member,
    term: u64,
    key: usize,
    request: KeyedRequest,
}

/// A call that the owner was allowed to run.
#[derive(Debug)]
struct Run {
    forward: Forward,
    receipt: ReceiptKey,
    written: Option<u64>,
}

/// A message to the ingress with the outcome of its call.
#[derive(Debug, Clone)]
struct Reply {
    ingress: Member,
    request: KeyedRequest,
    outcome: Outcome,
    answer: Option<Answer>,
}

/// The model's record of a key's runs.
#[derive(Debug, Default)]
struct KeyRuns {
    /// Time until which a second run is an error.
    until: Option<Instant>,
    /// Serial numbers of the key's runs.
    runs: Vec<u64>,
}

/// The members, the messages that are being delivered, and the model.
#[derive(Debug)]
struct ModelCheck {
    now: Instant,
    nodes: Vec<Node>,
    owner: usize,
    term: u64,
    forwards: Vec<Forward>,
    runs: Vec<Run>,
    replies: Vec<Reply>,
    key_runs: BTreeMap<usize, KeyRuns>,
    /// Attempts that were answered as *not run*.
    refused: Vec<RequestId>,
    serial: u64,
}

fn pool() -> PoolId {
    "calls".parse().unwrap()
}

fn limits() -> ReceiptLimits {
    ReceiptLimits { retention: RETENTION, max_run_time: RUN_TIME, ..ReceiptLimits::default() }
}

fn member(node: usize, incarnation: u64) -> Member {
    let node = format!("n{node}").parse().unwrap();
    Member { node, incarnation: Incarnation(incarnation) }
}

fn answer(run: u64) -> Answer {
    Answer { status: 200, headers: Vec::new(), body: run.to_be_bytes().to_vec() }
}

/// Returns an index into the list, `None` if the list is empty.
fn pick<T>(list: &[T], at: usize) -> Option<usize> {
    (!list.is_empty()).then(|| at % list.len())
}

impl ModelCheck {
    fn node(&mut self, member: &Member) -> Option<&mut Node> {
        self.nodes.iter_mut().find(|node| node.member == *member)
    }

    fn send(&mut self, ingress: usize, key: usize) {
        self.serial += 1;
        let request = KeyedRequest {
            name: ReceiptName {
                team: "a".parse().unwrap(),
                queue: "notices".parse().unwrap(),
                key: RequestKey::Caller(format!("k{key}").into()),
            },
            pool: pool(),
            attempt: RequestId::new(self.serial.into()),
            deadline: self.now + RUN_TIME,
            fingerprint: Fingerprint(key as u128),
            idempotent: false,
        };
        // If the ingress is the owner itself, another member keeps the copy.
        let holder = if ingress == self.owner { (ingress + 1) % NODES } else { ingress };
        if !self.nodes[holder].receipts.mirror(&request, self.now) {
            return;
        }
        self.forwards.push(Forward {
            ingress: self.nodes[holder].member.clone(),
            owner: self.nodes[self.owner].member.clone(),
            term: self.term,
            key,
            request,
        });
    }

    fn receive(&mut self, at: usize, again: bool) {
        let Some(at) = pick(&self.forwards, at) else { return };
        let forward = if again { self.forwards[at].clone() } else { self.forwards.swap_remove(at) };
        let is_owner = forward.term == self.term;
        let now = self.now;
        let Some(node) = self.node(&forward.owner) else { return };
        if !is_owner {
            // The lease of the earlier owner has expired, and that owner refuses new
            // calls. Its receipts show whether a message is a duplicate of a call that
            // it ran.
            let begin = node.receipts.begin(&forward.request, now);
            if let BeginOutcome::Run(receipt) = begin {
                node.receipts.finish(receipt, Outcome::NotRun, None, now);
                self.reply(&forward, Outcome::NotRun, None);
            }
            return;
        }
        match node.receipts.begin(&forward.request, now) {
            BeginOutcome::Run(receipt) => {
                let refused = self.refused.contains(&forward.request.attempt);
                assert!(!refused, "a call that was answered as not run runs");
                self.runs.push(Run { forward, receipt, written: None });
            }
            BeginOutcome::Replay(answer) => {
                // Receipts expire at slightly different times at the members, so a key
                // that is used again after its retention may get its earlier answer.
                let key_runs = self.key_runs.entry(forward.key).or_default();
                let is_own_run = key_runs.runs.iter().any(|run| self::answer(*run) == *answer);
                assert!(is_own_run, "the answer is that of a run of the same key");
                self.reply(&forward, Outcome::Answered, Some((*answer).clone()));
            }
            BeginOutcome::InProgress
            | BeginOutcome::NoCapacity { .. }
            | BeginOutcome::DeadlinePassed => {
                self.reply(&forward, Outcome::NotRun, None);
            }
            BeginOutcome::Unknown => self.reply(&forward, Outcome::Unknown, None),
            BeginOutcome::DuplicateAttempt => {}
            BeginOutcome::RequestMismatch => panic!("each key has one fingerprint"),
        }
    }

    fn write(&mut self, at: usize) {
        let Some(at) = pick(&self.runs, at) else { return };
        if self.runs[at].written.is_some() || self.now > self.runs[at].forward.request.deadline {
            return;
        }
        self.serial += 1;
        let key_runs = self.key_runs.entry(self.runs[at].forward.key).or_default();
        if let Some(until) = key_runs.until {
            assert!(self.now >= until, "a second run within the retention");
        }
        key_runs.until = Some(self.now + RETENTION);
        key_runs.runs.push(self.serial);
        self.runs[at].written = Some(self.serial);
    }

    fn end(&mut self, at: usize, known: bool) {
        let Some(at) = pick(&self.runs, at) else { return };
        let run = self.runs.swap_remove(at);
        let (outcome, answer) = match run.written {
            None => (Outcome::NotRun, None),
            Some(written) if known => (Outcome::Answered, Some(answer(written))),
            Some(_) => (Outcome::Unknown, None),
        };
        let now = self.now;
        if let Some(node) = self.node(&run.forward.owner) {
            node.receipts.finish(run.receipt, outcome, answer.clone(), now);
        }
        self.reply(&run.forward, outcome, answer);
    }

    fn reply(&mut self, forward: &Forward, outcome: Outcome, answer: Option<Answer>) {
        if outcome == Outcome::NotRun {
            self.refused.push(forward.request.attempt);
        }
        self.replies.push(Reply {
            ingress: forward.ingress.clone(),
            request: forward.request.clone(),
            outcome,
            answer,
        });
    }

    fn resolve(&mut self, at: usize) {
        let Some(at) = pick(&self.replies, at) else { return };
        let Reply { ingress, request, outcome, answer, .. } = self.replies.swap_remove(at);
        let now = self.now;
        if let Some(node) = self.node(&ingress) {
            node.receipts.resolve(&request.name, request.attempt, outcome, answer, now);
        }
    }

    /// Replaces a member by a new process. Messages that the member sent are still
    /// delivered.
    fn crash(&mut self, node: usize) {
        let lost = self.nodes[node].member.clone();
        let mut new = Receipts::new(limits());
        let informant = (node + 1) % NODES;
        new.import_losses(self.nodes[informant].receipts.losses(self.now), self.now);
        let incarnation = lost.incarnation.next();
        let member = Member { incarnation, ..lost.clone() };
        self.nodes[node] = Node { member, receipts: new };
        self.runs.retain(|run| run.forward.owner != lost);
        self.announce_loss(&lost);
        if node == self.owner {
            self.take_over(None);
        }
    }

    /// Expires the owner's lease. The earlier owner continues the calls that it began,
    /// but its receipts cannot be exported.
    fn expire_lease(&mut self) {
        let lost = self.nodes[self.owner].member.clone();
        self.announce_loss(&lost);
        self.take_over(Some(self.owner));
    }

    fn announce_loss(&mut self, lost: &Member) {
        let now = self.now;
        self.nodes.iter_mut().for_each(|node| node.receipts.record_loss(lost.clone(), now));
    }

    fn take_over(&mut self, unreachable: Option<usize>) {
        let next = (self.owner + 1) % NODES;
        let now = self.now;
        let others = (0..NODES).filter(|each| *each != next && Some(*each) != unreachable);
        let receipts: Vec<_> =
            others.flat_map(|each| self.nodes[each].receipts.export(&pool(), now)).collect();
        let owner = &mut self.nodes[next].receipts;
        owner.take_over(&pool(), now);
        assert_eq!(owner.import(receipts, now), 0);
        self.owner = next;
        self.term += 1;
    }
}

impl StateMachineTest for ModelCheck {
    type SystemUnderTest = ModelCheck;
    type Reference = StatelessReference;

    fn init_test((): &()) -> ModelCheck {
        let nodes = (0..NODES)
            .map(|node| Node { member: member(node, 1), receipts: Receipts::new(limits()) });
        ModelCheck {
            now: Instant::now(),
            nodes: nodes.collect(),
            owner: 0,
            term: 1,
            forwards: Vec::new(),
            runs: Vec::new(),
            replies: Vec::new(),
            key_runs: BTreeMap::new(),
            refused: Vec::new(),
            serial: 0,
        }
    }

    fn apply(mut state: ModelCheck, (): &(), step: Step) -> ModelCheck {
        match step {
            Step::Send { ingress, key } => state.send(ingress, key),
            Step::Receive { at, again } => state.receive(at, again),
            Step::Write { at } => state.write(at),
            Step::End { at, known } => state.end(at, known),
            Step::Resolve { at } => state.resolve(at),
            Step::Lose { at } => {
                if let Some(at) = pick(&state.forwards, at) {
                    state.forwards.swap_remove(at);
                } else if let Some(at) = pick(&state.replies, at) {
                    state.replies.swap_remove(at);
                }
            }
            Step::Crash { node } => state.crash(node),
            Step::LeaseExpires => state.expire_lease(),
            Step::Advance { ms } => state.now += Duration::from_millis(ms),
        }
        state
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

    /// Guards against a key that runs twice within its retention, a call that runs
    /// after it was answered as not run, and an answer of another key, in any order of
    /// messages, losses and changes of owner.
    #[test]
    fn a_key_runs_at_most_once(sequential 1..150 => ModelCheck);
}
