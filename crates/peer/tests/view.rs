//! Tests of when the rights of a lost member are reassigned, and of who proposes a
//! transition.

use std::collections::BTreeSet;

use vg_base::prelude::*;
use vg_events::Stamp;
use vg_peer::{Membership, Timing, Transition, VoterChange};

mod common;

use common::{member, record};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Creates the nodes `a`, `b` and `c`, which are all voters and know the same cluster state.
fn nodes(now: Instant) -> Vec<Membership> {
    let mut nodes: Vec<Membership> =
        NAMES.iter().map(|name| Membership::new(member(name, 1), Timing::default())).collect();
    let joins: Vec<Transition> = NAMES
        .iter()
        .map(|name| Transition::Join { member: member(name, 1), record: record() })
        .collect();
    commit(&mut nodes, &[0, 1, 2], now, &joins);
    for name in ["b", "c"] {
        let change = VoterChange::Add(name.parse().unwrap());
        let voters_epoch = nodes[0].cluster_state().voters_epoch;
        commit(&mut nodes, &[0, 1, 2], now, &[Transition::ChangeVoters { change, voters_epoch }]);
    }
    nodes
}

/// Commits transitions. Only the nodes at the indices `known` learn of the new cluster state.
fn commit(nodes: &mut [Membership], known: &[usize], now: Instant, transitions: &[Transition]) {
    let cluster_state = nodes[known[0]].apply_transitions(transitions).unwrap();
    known.iter().for_each(|at| nodes[*at].apply(now, &cluster_state, true));
}

/// Sends a heartbeat from one node to another.
fn exchange(nodes: &mut [Membership], from: usize, to: usize, now: Instant) {
    let peer = nodes[to].me().clone();
    let heartbeat = nodes[from].heartbeat(now, &peer, Stamp::default());
    nodes[to].receive(now, &heartbeat);
}

/// A lost member may still act on its lease, or on the status reports of voters that don't
/// know the fence. Its rights must not be reassigned before both have expired, and its
/// permits not before its attempts have finished, also if the longest duration was raised.
#[test]
fn rights_are_reassigned_after_a_majority_of_the_other_voters_knows_the_fence() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    let lost = member("c", 1);
    commit(&mut nodes, &[0], start, &[Transition::Fence { lost: lost.clone() }]);
    let timing = Timing::default();
    let wait = timing.report_ttl + timing.clock_margin;
    assert!(!nodes[0].view().may_reassign(start + wait * 2, &lost), "only one of two knows");
    let cluster_state = nodes[0].cluster_state().clone();
    let known = start + Duration::from_secs(1);
    nodes[1].apply(known, &cluster_state, true);
    exchange(&mut nodes, 1, 0, known);
    assert!(!nodes[0].view().may_reassign(known, &lost));
    assert!(nodes[0].view().may_reassign(known + wait, &lost));
    assert!(!nodes[0].view().attempts_finished(known + wait, &lost));
    assert!(nodes[0].view().attempts_finished(known + wait + timing.attempt_max, &lost));
    nodes[0].raise_attempt_max(timing.attempt_max * 2);
    assert!(!nodes[0].view().attempts_finished(known + wait + timing.attempt_max, &lost));
}

/// If no majority ever acknowledges the fence, the rights must not stay unused for ever, and
/// must not be reassigned while the lost member may still act in an outage of the store.
#[test]
fn without_a_majority_rights_are_reassigned_after_the_longest_outage() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    let lost = member("c", 1);
    commit(&mut nodes, &[0], start, &[Transition::Fence { lost: lost.clone() }]);
    let wait = Timing::default().unacknowledged_wait();
    assert!(!nodes[0].view().may_reassign(start + wait - Duration::from_millis(1), &lost));
    assert!(nodes[0].view().may_reassign(start + wait, &lost));
}

/// A member whose lease expired for a moment may come back. It must not be fenced before its
/// key was absent for the whole fence delay, and the delay must start again after the key
/// came back.
#[test]
fn a_member_is_fenced_after_its_key_was_absent_for_the_fence_delay() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    let timing = Timing::default();
    let present = BTreeSet::from([member("a", 1), member("b", 1)]);
    let fence = Transition::Fence { lost: member("c", 1) };
    nodes[0].note_leases(start, &present);
    assert!(!nodes[0].due_transitions(start).contains(&fence));
    let due = start + timing.fence_delay;
    nodes[0].note_leases(due, &present);
    assert!(nodes[0].due_transitions(due).contains(&fence));
    assert_eq!(Transition::fenced_members(std::slice::from_ref(&fence)), [member("c", 1)]);
    // The delay starts again after the key came back.
    let all = NAMES.iter().map(|name| member(name, 1)).collect();
    nodes[0].note_leases(due, &all);
    nodes[0].note_leases(due, &present);
    assert!(!nodes[0].due_transitions(due).contains(&fence));
}

/// If all members proposed a transition at the same time, they would overload the store.
#[test]
fn the_second_member_proposes_a_transition_only_after_its_turn() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    let present = BTreeSet::from([member("a", 1), member("b", 1)]);
    exchange(&mut nodes, 0, 1, start);
    let fence = Transition::Fence { lost: member("c", 1) };
    let timing = Timing::default();
    nodes[1].note_leases(start, &present);
    let due = start + timing.fence_delay;
    nodes[1].note_leases(due, &present);
    assert!(!nodes[1].due_transitions(due).contains(&fence));
    assert!(nodes[1].due_transitions(due + timing.proposal_stagger).contains(&fence));
}

/// A member that lost contact to the store has an outdated list of keys, and must not fence
/// members whose keys may exist again.
#[test]
fn an_outdated_reading_of_the_keys_fences_no_member() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    nodes[0].note_leases(start, &BTreeSet::from([member("a", 1)]));
    let late = start + Timing::default().contact_timeout;
    assert!(
        !nodes[0].due_transitions(late).iter().any(|each| matches!(each, Transition::Fence { .. }))
    );
}

/// An old process may still run while a later incarnation of its node is active. It must
/// not act on its lease any more, even if the lease is still valid.
#[test]
fn a_process_stops_acting_when_it_learns_of_a_later_incarnation() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    nodes[0].authority_mut().note_lease(start, Timing::default().lease_ttl);
    assert!(nodes[0].authority().may_act(start).is_ok());
    let mut later: Membership = Membership::new(member("a", 2), Timing::default());
    let heartbeat = later.heartbeat(start, &member("a", 1), Stamp::default());
    nodes[0].receive(start, &heartbeat);
    assert!(nodes[0].authority().may_act(start).is_err());
}
