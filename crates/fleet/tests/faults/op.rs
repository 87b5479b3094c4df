//! What can happen.

use proptest::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    Given,
    LostAfter,
    LostBefore,
    Late,
    Unreached,
}

#[derive(Debug, Clone)]
pub(crate) enum Op {
    Elect(usize, Answer),
    Round(usize, Answer),
    Deliver(usize),
    Watch,
    Report,
    List,
    Start(usize),
    Finish(usize),
    Fail(usize),
    FailRack(usize),
    FailZone(usize),
    Back,
    BackOne(usize),
    Remove(usize),
    Land,
    Advance(u64),
    Tick(usize, u64, bool),
    Stale(usize),
    Hold(usize),
    Hosts(usize, u32),
}

fn answer() -> impl Strategy<Value = Answer> {
    prop_oneof![
        6 => Just(Answer::Given),
        1 => Just(Answer::LostAfter),
        1 => Just(Answer::LostBefore),
        1 => Just(Answer::Late),
        1 => Just(Answer::Unreached),
    ]
}

const MINUTES: [u64; 6] = [1, 5, 10, 40, 24 * 60, 5 * 24 * 60];

pub(crate) fn op() -> impl Strategy<Value = Op> {
    let minutes = (0..MINUTES.len()).prop_map(|at| MINUTES[at]);
    let short = (0..4_usize).prop_map(|at| MINUTES[at]);
    prop_oneof![
        3 => (0..2_usize, answer()).prop_map(|(at, answer)| Op::Elect(at, answer)),
        12 => (0..2_usize, answer()).prop_map(|(at, answer)| Op::Round(at, answer)),
        6 => (0..2_usize).prop_map(Op::Deliver),
        6 => Just(Op::Watch),
        6 => Just(Op::Report),
        3 => Just(Op::List),
        10 => (0..64_usize).prop_map(Op::Start),
        6 => (0..64_usize).prop_map(Op::Finish),
        3 => (0..64_usize).prop_map(Op::Fail),
        1 => (0..64_usize).prop_map(Op::FailRack),
        1 => (0..64_usize).prop_map(Op::FailZone),
        3 => Just(Op::Back),
        3 => (0..64_usize).prop_map(Op::BackOne),
        1 => (0..64_usize).prop_map(Op::Remove),
        3 => Just(Op::Land),
        4 => minutes.prop_map(Op::Advance),
        20 => (0..2_usize, short, prop::bool::weighted(0.7))
            .prop_map(|(at, minutes, deliver)| Op::Tick(at, minutes, deliver)),
        3 => (0..2_usize).prop_map(Op::Stale),
        1 => (0..3_usize).prop_map(Op::Hold),
        1 => (0..3_usize, 4..8_u32).prop_map(|(at, hosts)| Op::Hosts(at, hosts)),
    ]
}
