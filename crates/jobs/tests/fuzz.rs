//! State-machine test: jobs under faults at any step, checked against an oracle.
//!
//! `VG_FUZZ_CASES` sets the number of cases. Without it a fixed number of cases
//! runs from a fixed seed.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use support::world::{Fault, World};
use vg_base::prelude::*;
use vg_jobs::Class;

/// Number of cases that run by default.
const CASES: u32 = 400;

const SEED: u64 = 20_261;

#[derive(Debug, Clone)]
enum Step {
    Submit {
        number: u8,
        urgent: bool,
        idempotent: bool,
        millis: u32,
    },
    Cancel(Vec<u8>),
    Place,
    Tick(u64),
    Commit(Fault),
    DelayedCommit,
    Crash {
        paused: bool,
    },
    Wake,
    Heartbeat(usize),
    Restart(usize),
    Deliver {
        at: usize,
        duplicate: bool,
        has_capacity: bool,
    },
    DropMessage(usize),
    Finish {
        at: usize,
        exit: i32,
    },
    Report {
        at: usize,
        duplicate: bool,
    },
    DropReport(usize),
    /// A sequence without faults: heartbeats, placement, a commit and deliveries.
    Quiet,
}

#[derive(Debug, Clone)]
struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let fault = prop_oneof![
            6 => Just(Fault::None),
            1 => Just(Fault::Unreached),
            2 => Just(Fault::AnswerLost),
            1 => Just(Fault::RequestLost),
            2 => Just(Fault::DelayedEffect),
            1 => Just(Fault::Crash),
        ];
        let submit = (0u8..24, any::<bool>(), any::<bool>(), 1u32..5).prop_map(
            |(number, urgent, idempotent, size)| Step::Submit {
                number,
                urgent,
                idempotent,
                millis: size * 800,
            },
        );
        let deliver = (0usize..16, prop::bool::weighted(0.2), prop::bool::weighted(0.75)).prop_map(
            |(at, duplicate, has_capacity)| Step::Deliver { at, duplicate, has_capacity },
        );
        let report = (0usize..16, prop::bool::weighted(0.2))
            .prop_map(|(at, duplicate)| Step::Report { at, duplicate });
        let finish = (0usize..16, prop_oneof![3 => Just(0), 1 => Just(1)])
            .prop_map(|(at, exit)| Step::Finish { at, exit });
        prop_oneof![
            8 => submit,
            2 => prop::collection::vec(0u8..24, 1..4).prop_map(Step::Cancel),
            6 => Just(Step::Place),
            4 => prop_oneof![Just(60), Just(700), Just(2500), Just(23_000)].prop_map(Step::Tick),
            10 => fault.prop_map(Step::Commit),
            2 => Just(Step::DelayedCommit),
            2 => any::<bool>().prop_map(|paused| Step::Crash { paused }),
            2 => Just(Step::Wake),
            6 => (0usize..4).prop_map(Step::Heartbeat),
            1 => (0usize..4).prop_map(Step::Restart),
            10 => deliver,
            1 => (0usize..16).prop_map(Step::DropMessage),
            5 => finish,
            6 => report,
            1 => (0usize..16).prop_map(Step::DropReport),
            3 => Just(Step::Quiet),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

struct Jobs;

impl StateMachineTest for Jobs {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test(_: &()) -> World {
        let mut world = World::new();
        (0..4).for_each(|at| world.heartbeat(at));
        world
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        match step {
            Step::Submit { number, urgent, idempotent, millis } => {
                let class = if urgent { Class::Urgent } else { Class::Background };
                world.submit(number, class, idempotent, millis);
            }
            Step::Cancel(numbers) => world.cancel(&numbers),
            Step::Place => world.place(),
            Step::Tick(millis) => world.tick(Duration::from_millis(millis)),
            Step::Commit(fault) => world.commit(fault),
            Step::DelayedCommit => world.apply_delayed_batch(),
            Step::Crash { paused } => world.crash(paused),
            Step::Wake => world.wake_paused(),
            Step::Heartbeat(at) => world.heartbeat(at),
            Step::Restart(at) => world.restart(at),
            Step::Deliver { at, duplicate, has_capacity } => {
                world.deliver(at, duplicate, has_capacity)
            }
            Step::DropMessage(at) => world.drop_message(at),
            Step::Finish { at, exit } => world.finish(at, exit),
            Step::Report { at, duplicate } => world.report(at, duplicate),
            Step::DropReport(at) => world.drop_report(at),
            Step::Quiet => {
                (0..4).for_each(|at| world.heartbeat(at));
                world.place();
                world.commit(Fault::None);
                (0..4).for_each(|_| world.deliver(0, false, true));
            }
        }
        world
    }

    fn teardown(mut world: World, _: ()) {
        world.drain();
    }
}

fn config() -> Config {
    let asked = std::env::var("VG_FUZZ_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: asked.unwrap_or(CASES),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 4000,
        ..Config::default()
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    // The store fails, owners crash or are paused, workers restart, and messages are
    // lost, repeated or late. No acknowledged job may be lost, and no job that is not
    // idempotent may run twice from the same checkpoint.
    #[test]
    fn no_job_is_lost_or_run_twice_under_faults(sequential 1..120 => Jobs);
}
