//! When the rights of a lost member pass, and who proposes what.

use std::collections::BTreeSet;

use vg_base::prelude::*;
use vg_events::Stamp;
use vg_peer::{Membership, Timing, Transition, VoterChange};

mod common;

use common::{member, record};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Nodes `a`, `b` and `c`, all of them voters, with one book.
fn nodes(now: Instant) -> Vec<Membership> {
    let mut nodes: Vec<Membership> =
        NAMES.iter().map(|name| Membership::new(member(name, 1), Timing::default())).collect();
    let joins: Vec<Transition> = NAMES
        .iter()
        .map(|name| Transition::Join { member: member(name, 1), record: record() })
        .collect();
    commit(&mut nodes, &[0, 1, 2], now, &joins);
    for name in ["b", "c"] {
        let step = VoterChange::Add(name.parse().unwrap());
        let voters_epoch = nodes[0].cluster_state().voters_epoch;
        commit(
            &mut nodes,
            &[0, 1, 2],
            now,
            &[Transition::ChangeVoters { change: step, voters_epoch }],
        );
    }
    nodes
}

/// Commits changes; only the nodes at `known` learn of the book.
fn commit(nodes: &mut [Membership], known: &[usize], now: Instant, changes: &[Transition]) {
    let cluster_state = nodes[known[0]].apply_transitions(changes).unwrap();
    known.iter().for_each(|at| nodes[*at].apply(now, &cluster_state, true));
}

fn exchange(nodes: &mut [Membership], from: usize, to: usize, now: Instant) {
    let peer = nodes[to].me().clone();
    let beat = nodes[from].heartbeat(now, &peer, Stamp::default());
    nodes[to].receive(now, &beat);
}

#[test]
fn rights_pass_a_grace_after_a_majority_without_the_lost_node_knows() {
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

#[test]
fn without_a_majority_rights_pass_when_no_member_can_go_on_any_more() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    let lost = member("c", 1);
    commit(&mut nodes, &[0], start, &[Transition::Fence { lost: lost.clone() }]);
    let alone = Timing::default().unacknowledged_wait();
    assert!(!nodes[0].view().may_reassign(start + alone - Duration::from_millis(1), &lost));
    assert!(nodes[0].view().may_reassign(start + alone, &lost));
}

#[test]
fn a_member_is_fenced_after_its_key_has_stayed_away() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    let timing = Timing::default();
    let present = BTreeSet::from([member("a", 1), member("b", 1)]);
    let fence = Transition::Fence { lost: member("c", 1) };
    nodes[0].note_leases(start, &present);
    assert!(!nodes[0].due_transitions(start).contains(&fence));
    let quiet = start + timing.fence_delay;
    nodes[0].note_leases(quiet, &present);
    assert!(nodes[0].due_transitions(quiet).contains(&fence));
    assert_eq!(Transition::fenced_members(std::slice::from_ref(&fence)), [member("c", 1)]);
    // A key that comes back starts the time anew.
    let all = NAMES.iter().map(|name| member(name, 1)).collect();
    nodes[0].note_leases(quiet, &all);
    nodes[0].note_leases(quiet, &present);
    assert!(!nodes[0].due_transitions(quiet).contains(&fence));
}

#[test]
fn the_first_member_proposes_and_the_next_only_after_its_turn() {
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

#[test]
fn an_old_reading_of_the_keys_fences_nobody() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    nodes[0].note_leases(start, &BTreeSet::from([member("a", 1)]));
    let late = start + Timing::default().contact_timeout;
    assert!(
        !nodes[0].due_transitions(late).iter().any(|each| matches!(each, Transition::Fence { .. }))
    );
}

#[test]
fn a_process_that_hears_of_its_later_incarnation_stops() {
    let start = Instant::now();
    let mut nodes = nodes(start);
    nodes[0].authority_mut().note_lease(start, Timing::default().lease_ttl);
    assert!(nodes[0].authority().may_act(start).is_ok());
    let mut later: Membership = Membership::new(member("a", 2), Timing::default());
    let beat = later.heartbeat(start, &member("a", 1), Stamp::default());
    nodes[0].receive(start, &beat);
    assert!(nodes[0].authority().may_act(start).is_err());
}
