//! Stateful fuzzing of the scheduler against a simple model.
//!
//! `VG_FUZZ_CASES` sets the number of cases; the seed is fixed.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use vg_base::prelude::*;
use vg_conf::Class;
use vg_share::{PoolRules, QueueRule, Refusal, Scheduler, Ticket, WorkItem};

const TEAMS: [&str; 3] = ["a", "b", "c"];
const QUEUES: [(&str, Class, u32); 3] =
    [("urgent", Class::Urgent, 6), ("feed", Class::Background, 5), ("sync", Class::Background, 4)];

#[derive(Debug, Clone)]
enum Step {
    Offer { team: usize, queue: usize, due_ms: u64, expected_ms: u64 },
    Next { blocked: [bool; 3] },
    Finish { at: usize },
    Cancel { at: usize },
    Expire,
    Advance { ms: u64 },
    Configure { shares: [u32; 3] },
    Resize { slots: u32 },
    Drain,
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
        prop_oneof![
            6 => (0..3usize, 0..3usize, 0..3000u64, 0..5000u64).prop_map(
                |(team, queue, due_ms, expected_ms)| Step::Offer { team, queue, due_ms, expected_ms }
            ),
            5 => any::<[bool; 3]>().prop_map(|blocked| Step::Next { blocked }),
            3 => Just(Step::Next { blocked: [false; 3] }),
            4 => any::<usize>().prop_map(|at| Step::Finish { at }),
            1 => any::<usize>().prop_map(|at| Step::Cancel { at }),
            1 => Just(Step::Expire),
            3 => (0..800u64).prop_map(|ms| Step::Advance { ms }),
            1 => prop::array::uniform3(0..4u32).prop_map(|shares| Step::Configure { shares }),
            1 => (0..9u32).prop_map(|slots| Step::Resize { slots }),
            1 => Just(Step::Drain),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The scheduler, and the model's record of each ticket: team, queue and, while the
/// item waits, deadline.
#[derive(Debug)]
struct ModelCheck {
    scheduler: Scheduler,
    now: Instant,
    waiting: BTreeMap<Ticket, (usize, usize, Instant)>,
    running: BTreeMap<Ticket, (usize, usize)>,
}

/// Returns the rules with these shares. A team whose share is zero is left out.
fn rules(shares: [u32; 3]) -> PoolRules {
    let teams = TEAMS.iter().zip(shares).filter(|(_, share)| *share > 0);
    let queues = QUEUES.iter().map(|(id, class, bound)| {
        let deadline = Duration::from_secs(2);
        let rule =
            QueueRule { class: *class, deadline, max_waiting: *bound, multi_team: *id != "sync" };
        (id.parse().unwrap(), rule)
    });
    PoolRules {
        teams: teams.map(|(id, share)| (id.parse().unwrap(), Share(share))).collect(),
        queues: queues.collect(),
        floor_percent: 5,
        urgent_credit: Duration::from_secs(2),
    }
}

impl ModelCheck {
    fn waiting_in(&self, queue: usize) -> usize {
        self.waiting.values().filter(|(_, each, _)| *each == queue).count()
    }

    fn offer(&mut self, team: usize, queue: usize, due_ms: u64, expected_ms: u64) {
        let deadline = self.now + Duration::from_millis(due_ms);
        let item = WorkItem {
            queue: QUEUES[queue].0.parse().unwrap(),
            team: TEAMS[team].parse().unwrap(),
            class: QUEUES[queue].1,
            deadline,
            expected: Duration::from_millis(expected_ms),
        };
        match self.scheduler.offer(item, self.now) {
            Ok(ticket) => {
                let is_new = !self.running.contains_key(&ticket);
                assert!(is_new && self.waiting.insert(ticket, (team, queue, deadline)).is_none());
                assert!(self.waiting_in(queue) <= QUEUES[queue].2 as usize, "queue bound");
            }
            Err(refusal) => {
                let retry_after = refusal.retry_after();
                assert!(retry_after.is_none_or(|after| after <= Duration::from_secs(30)));
            }
        }
    }

    fn next(&mut self, blocked: [bool; 3]) {
        let mut asked = Vec::new();
        let chosen = self.scheduler.start_next(self.now, |team| {
            let at = TEAMS.iter().position(|each| *each == team.as_str()).unwrap();
            assert!(!asked.contains(&at), "a team is asked at most once");
            asked.push(at);
            !blocked[at]
        });
        self.take_refusals();
        let Some((ticket, item)) = chosen else {
            let startable = self.waiting.values().find(|(team, ..)| !blocked[*team]);
            assert_eq!(startable, None, "work that may start waits and is not started");
            return;
        };
        let (team, queue, deadline) =
            self.waiting.remove(&ticket).expect("the started item was waiting");
        assert!(!blocked[team], "no item starts without a permit");
        assert_eq!(asked.last(), Some(&team), "the item belongs to the team that was asked last");
        assert_eq!(item.team.as_str(), TEAMS[team]);
        assert!(deadline >= self.now, "no item starts after its deadline");
        self.running.insert(ticket, (team, queue));
    }

    fn take_refusals(&mut self) {
        for (ticket, refusal) in self.scheduler.expire(self.now) {
            assert!(
                self.waiting.remove(&ticket).is_some(),
                "an item is refused once, while it waits"
            );
            assert!(matches!(refusal, Refusal::CannotMeetDeadline { .. }));
        }
        let late = self.waiting.values().find(|(_, _, deadline)| *deadline < self.now);
        assert_eq!(late, None, "every late item is refused");
    }
}

impl StateMachineTest for ModelCheck {
    type SystemUnderTest = ModelCheck;
    type Reference = StatelessReference;

    fn init_test((): &()) -> ModelCheck {
        let mut scheduler = Scheduler::new(rules([1, 2, 3]));
        scheduler.resize(Slots(4));
        let (waiting, running) = (BTreeMap::new(), BTreeMap::new());
        ModelCheck { scheduler, now: Instant::now(), waiting, running }
    }

    fn apply(mut state: ModelCheck, (): &(), step: Step) -> ModelCheck {
        match step {
            Step::Offer { team, queue, due_ms, expected_ms } => {
                state.offer(team, queue, due_ms, expected_ms);
            }
            Step::Next { blocked } => state.next(blocked),
            Step::Finish { at } => {
                let count = state.running.len().max(1);
                if let Some((&ticket, _)) = state.running.iter().nth(at % count) {
                    state.running.remove(&ticket);
                    state.scheduler.finish(ticket, state.now);
                    // Finishing an item twice has no effect.
                    state.scheduler.finish(ticket, state.now);
                }
            }
            Step::Cancel { at } => {
                let count = state.waiting.len().max(1);
                if let Some((&ticket, _)) = state.waiting.iter().nth(at % count) {
                    state.waiting.remove(&ticket);
                    assert!(state.scheduler.cancel(ticket));
                    assert!(!state.scheduler.cancel(ticket));
                }
            }
            Step::Expire => state.take_refusals(),
            Step::Advance { ms } => state.now += Duration::from_millis(ms),
            Step::Configure { shares } => state.scheduler.configure(rules(shares)),
            Step::Drain => {
                for ticket in state.scheduler.drain() {
                    assert!(state.waiting.remove(&ticket).is_some(), "an item is drained once");
                }
                assert!(state.waiting.is_empty());
            }
            Step::Resize { slots } => state.scheduler.resize(Slots(slots)),
        }
        state
    }

    fn check_invariants(state: &ModelCheck, (): &()) {
        let stats = state.scheduler.stats();
        assert_eq!(stats.waiting, state.waiting.len());
        assert_eq!(stats.running, state.running.len());
        assert_eq!(stats.waiting, stats.teams.iter().map(|team| team.waiting).sum::<usize>());
        assert_eq!(stats.running, stats.teams.iter().map(|team| team.running).sum::<usize>());
        let is_background = |(_, queue): &&(usize, usize)| QUEUES[*queue].1 == Class::Background;
        assert_eq!(stats.running_background, state.running.values().filter(is_background).count());
    }

    fn teardown(mut state: ModelCheck, (): ()) {
        // Every remaining item ends exactly once.
        state.now += Duration::from_secs(60);
        state.take_refusals();
        assert!(state.waiting.is_empty());
        for ticket in std::mem::take(&mut state.running).into_keys() {
            state.scheduler.finish(ticket, state.now);
        }
        assert_eq!((state.scheduler.waiting(), state.scheduler.running()), (0, 0));
        assert_eq!(state.scheduler.next_expiry(), None);
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

    /// Guards against items that are lost, end twice, start late or exceed the bound of
    /// their queue, and against counts that drift, in any order of steps.
    #[test]
    fn every_item_ends_once_and_in_time(sequential 1..120 => ModelCheck);
}
