//! What can happen.

use proptest::prelude::*;

/// Nodes of the simulation.
pub(crate) const NODES: usize = 5;
/// Teams of the simulation.
pub(crate) const TEAMS: usize = 2;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Op {
    /// Everything goes on for some steps, with this seed for order and loss.
    Run { steps: u16, seed: u64, loss: u8, load: u8 },
    /// Kills a process; its runs go on to their deadlines.
    Crash(usize),
    /// Starts a process on a node that has none.
    Start(usize),
    /// Kills and starts a process at once.
    Restart(usize),
    /// Stops a process without its knowing.
    Pause(usize),
    /// Lets a paused process go on, which tries to start work first of all.
    Wake(usize),
    /// Begins a planned stop.
    Leave(usize),
    /// Cuts a node off from the store, or mends that.
    Store { node: usize, reachable: bool },
    /// Takes the store down for all, or brings it back.
    StoreAll { up: bool },
    /// Makes the store's commits late and their answers lost, or not.
    Slow(bool),
    /// Cuts two nodes off from each other, or mends that.
    Link { a: usize, b: usize, open: bool },
    /// Mends all links and the store's reachability.
    Mend,
    /// Sets a team's upper limit.
    Limit { team: usize, limit: u32 },
    /// Hands a node's book to another.
    PeerBook { from: usize, to: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let node = || 0..NODES;
    prop_oneof![
        10 => (1u16..40, any::<u64>(), 0u8..60, 0u8..100)
            .prop_map(|(steps, seed, loss, load)| Op::Run { steps, seed, loss, load }),
        2 => node().prop_map(Op::Crash),
        3 => node().prop_map(Op::Start),
        2 => node().prop_map(Op::Restart),
        2 => node().prop_map(Op::Pause),
        3 => node().prop_map(Op::Wake),
        1 => node().prop_map(Op::Leave),
        3 => (node(), any::<bool>()).prop_map(|(node, reachable)| Op::Store { node, reachable }),
        2 => any::<bool>().prop_map(|up| Op::StoreAll { up }),
        1 => any::<bool>().prop_map(Op::Slow),
        3 => (node(), node(), any::<bool>()).prop_map(|(a, b, open)| Op::Link { a, b, open }),
        1 => Just(Op::Mend),
        2 => (0..TEAMS, 0u32..9).prop_map(|(team, limit)| Op::Limit { team, limit }),
        1 => (node(), node()).prop_map(|(from, to)| Op::PeerBook { from, to }),
    ]
}

fn run(steps: std::ops::Range<u16>, load: u8) -> impl Strategy<Value = Op> {
    (steps, any::<u64>(), 0u8..8, 0..=load).prop_map(|(steps, seed, loss, load)| Op::Run {
        steps,
        seed,
        loss,
        load,
    })
}

fn some_nodes() -> impl Strategy<Value = Vec<usize>> {
    prop::sample::subsequence((0..NODES).collect::<Vec<_>>(), 1..4)
}

fn store(nodes: &[usize], reachable: bool) -> Vec<Op> {
    nodes.iter().map(|&node| Op::Store { node, reachable }).collect()
}

/// Some nodes lose the store for long enough to be fenced; then another one
/// restarts, or some get the store back, while all act.
fn cut_off() -> impl Strategy<Value = Vec<Op>> {
    let after = prop_oneof![
        some_nodes().prop_map(|nodes| store(&nodes, true)),
        (0..NODES, 0..NODES).prop_map(|(node, from)| vec![
            Op::Store { node, reachable: false },
            Op::Restart(node),
            Op::PeerBook { from, to: node },
        ]),
        (0..NODES).prop_map(|node| vec![Op::Crash(node)]),
        Just(vec![Op::StoreAll { up: false }]),
    ];
    (some_nodes(), any::<bool>(), run(30..110, 60), after, run(2..40, 60)).prop_map(
        |(nodes, slow, first, after, second)| {
            let mut ops = store(&nodes, false);
            ops.push(Op::Slow(slow));
            ops.push(first);
            ops.extend(after);
            ops.push(second);
            ops
        },
    )
}

/// A node is paused while others lose the store or get it back, and wakes.
fn paused() -> impl Strategy<Value = Vec<Op>> {
    (0..NODES, some_nodes(), any::<bool>(), run(1..90, 20), any::<bool>(), run(1..30, 60)).prop_map(
        |(node, nodes, before, first, after, second)| {
            let mut ops = store(&nodes, before);
            ops.extend([Op::Pause(node), first, Op::Store { node, reachable: after }]);
            ops.extend([Op::Wake(node), second]);
            ops
        },
    )
}

/// Members are lost one after the other under load, while commits are late.
fn lost_members() -> impl Strategy<Value = Vec<Op>> {
    (any::<bool>(), 0..NODES, run(1..70, 90), 0..NODES, run(20..120, 90)).prop_map(
        |(slow, first, between, second, after)| {
            vec![Op::Slow(slow), Op::Crash(first), between, Op::Restart(second), after]
        },
    )
}

/// A sequence of what can happen.
pub(crate) fn sequence() -> impl Strategy<Value = Vec<Op>> {
    let block = prop_oneof![
        12 => op().prop_map(|op| vec![op]),
        1 => cut_off(),
        1 => lost_members(),
        1 => paused(),
    ];
    prop::collection::vec(block, 3..40).prop_map(|blocks| blocks.concat())
}
