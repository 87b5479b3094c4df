//! The operations of the simulation, and generators of operation sequences.

use proptest::prelude::*;

/// Number of nodes of the simulation.
pub(crate) const NODES: usize = 5;
/// Number of teams of the simulation.
pub(crate) const TEAMS: usize = 2;

/// An operation of the simulation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Op {
    /// Advances the simulation by some steps. The seed determines the message order and loss.
    /// A message is lost with the probability `loss` / 200, delayed by a step with `loss` / 100
    /// and repeated with `loss` / 200. In each step a member tries to start an attempt of each
    /// team with the probability `load` / 100.
    Run { steps: u16, seed: u64, loss: u8, load: u8 },
    /// Kills a process. Its attempts continue until their deadlines.
    Crash(usize),
    /// Starts a process on a node that has none.
    Start(usize),
    /// Kills a process and immediately starts a new one on the same node.
    Restart(usize),
    /// Pauses a process, which doesn't notice the pause.
    Pause(usize),
    /// Resumes a paused process, which first tries to start an attempt.
    Resume(usize),
    /// Begins a planned stop.
    Leave(usize),
    /// Cuts a node off from the store, or reconnects it.
    Store { node: usize, reachable: bool },
    /// Stops the store for all nodes, or restarts it.
    StoreAll { up: bool },
    /// Sets whether the store delays commits and loses answers.
    SlowStore(bool),
    /// Cuts the link between two nodes, or repairs it.
    Link { a: usize, b: usize, open: bool },
    /// Repairs all links, and the store and its connections.
    Repair,
    /// Sets the upper limit of a team.
    Limit { team: usize, limit: u32 },
    /// Passes the cluster state of a node directly to another node.
    CopyState { from: usize, to: usize },
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
        3 => node().prop_map(Op::Resume),
        1 => node().prop_map(Op::Leave),
        3 => (node(), any::<bool>()).prop_map(|(node, reachable)| Op::Store { node, reachable }),
        2 => any::<bool>().prop_map(|up| Op::StoreAll { up }),
        1 => any::<bool>().prop_map(Op::SlowStore),
        3 => (node(), node(), any::<bool>()).prop_map(|(a, b, open)| Op::Link { a, b, open }),
        1 => Just(Op::Repair),
        2 => (0..TEAMS, 0u32..9).prop_map(|(team, limit)| Op::Limit { team, limit }),
        1 => (node(), node()).prop_map(|(from, to)| Op::CopyState { from, to }),
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

/// Some nodes are cut off from the store for long enough to be fenced. Then one of several
/// things happens while all of them continue to act: some nodes reconnect, a node restarts
/// without the store, a node crashes, or the store stops.
fn cut_off() -> impl Strategy<Value = Vec<Op>> {
    let after = prop_oneof![
        some_nodes().prop_map(|nodes| store(&nodes, true)),
        (0..NODES, 0..NODES).prop_map(|(node, from)| vec![
            Op::Store { node, reachable: false },
            Op::Restart(node),
            Op::CopyState { from, to: node },
        ]),
        (0..NODES).prop_map(|node| vec![Op::Crash(node)]),
        Just(vec![Op::StoreAll { up: false }]),
    ];
    (some_nodes(), any::<bool>(), run(30..110, 60), after, run(2..40, 60)).prop_map(
        |(nodes, slow, first, after, second)| {
            let mut ops = store(&nodes, false);
            ops.push(Op::SlowStore(slow));
            ops.push(first);
            ops.extend(after);
            ops.push(second);
            ops
        },
    )
}

/// A node is paused while other nodes are cut off from the store or reconnect, and resumes.
fn paused() -> impl Strategy<Value = Vec<Op>> {
    (0..NODES, some_nodes(), any::<bool>(), run(1..90, 20), any::<bool>(), run(1..30, 60)).prop_map(
        |(node, nodes, before, first, after, second)| {
            let mut ops = store(&nodes, before);
            ops.extend([Op::Pause(node), first, Op::Store { node, reachable: after }]);
            ops.extend([Op::Resume(node), second]);
            ops
        },
    )
}

/// Members are lost one after the other under load, while commits may be delayed.
fn lost_members() -> impl Strategy<Value = Vec<Op>> {
    (any::<bool>(), 0..NODES, run(1..70, 90), 0..NODES, run(20..120, 90)).prop_map(
        |(slow, first, between, second, after)| {
            vec![Op::SlowStore(slow), Op::Crash(first), between, Op::Restart(second), after]
        },
    )
}

/// Generates a sequence of operations.
pub(crate) fn sequence() -> impl Strategy<Value = Vec<Op>> {
    let block = prop_oneof![
        12 => op().prop_map(|op| vec![op]),
        1 => cut_off(),
        1 => lost_members(),
        1 => paused(),
    ];
    prop::collection::vec(block, 3..40).prop_map(|blocks| blocks.concat())
}
