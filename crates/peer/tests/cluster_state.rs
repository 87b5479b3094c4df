//! Tests of the transitions, the size and the encoding of the cluster state.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_limit::{GrantAdjustment, LedgerChange};
use vg_peer::{ClusterState, ClusterStateError, MemberState, Transition, choose_owner};

mod common;

use common::{member, record};

fn names<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, count: usize) -> Vec<T> {
    (0..count).map(|i| format!("{kind}-{i:02}").parse().unwrap()).collect()
}

/// Creates a cluster state of the target size: 65 teams, 54 pools and `members` members.
fn target_size_state(members: usize) -> ClusterState {
    let teams: Vec<TeamId> = names("team-of-some-name", 65);
    let pools: Vec<PoolId> = names("pool-of-some-name", 54);
    let limits: BTreeMap<TeamId, Permits> =
        teams.iter().cloned().map(|team| (team, Permits(400))).collect();
    let revision = Revision(1);
    let lists = Transition::SetLists { revision, limits, pools: pools.into_iter().collect() };
    let mut cluster_state = ClusterState::default().apply(&lists).unwrap();
    for index in 0..members {
        let joined = member(&format!("entry-{index:02}"), 1_790_000_000_000_000 + index as u64);
        cluster_state = cluster_state
            .apply(&Transition::Join { member: joined.clone(), record: record() })
            .unwrap();
        let requested = teams.iter().cloned().map(|team| (team, Permits(20))).collect();
        let adjustment =
            GrantAdjustment { member: joined, serial: 1, returned: BTreeMap::new(), requested };
        cluster_state =
            cluster_state.apply(&Transition::Ledger(LedgerChange::Adjust(adjustment))).unwrap();
    }
    cluster_state.apply(&Transition::AssignPools).unwrap()
}

/// The store refuses values above a megabyte. A cluster state of the target size must stay
/// well below it, also while the entries of replaced members still exist.
#[test]
fn the_cluster_state_of_the_target_size_is_well_below_a_megabyte() {
    let mut cluster_state = target_size_state(18);
    // There are twice as many members, since every member was just replaced.
    for index in 0..18 {
        let lost = member(&format!("entry-{index:02}"), 1_790_000_000_000_000 + index as u64);
        cluster_state = cluster_state.apply(&Transition::Fence { lost }).unwrap();
        let next = member(&format!("entry-{index:02}"), 1_800_000_000_000_000 + index as u64);
        cluster_state =
            cluster_state.apply(&Transition::Join { member: next, record: record() }).unwrap();
    }
    let bytes = cluster_state.encode().unwrap();
    assert!(bytes.len() < 256 * 1024, "{} bytes", bytes.len());
    assert_eq!(ClusterState::decode(&bytes).unwrap(), cluster_state);
}

/// A program that misreads a value would overwrite the cluster state with a wrong one.
#[test]
fn a_newer_format_and_malformed_values_are_refused() {
    let mut bytes = target_size_state(1).encode().unwrap();
    bytes[0] = 2;
    assert_eq!(ClusterState::decode(&bytes), Err(ClusterStateError::Newer { found: 2, known: 1 }));
    for bad in [&b""[..], b"\x01", b"\x01\xff\xff", b"{}"] {
        assert!(ClusterState::decode(bad).is_err());
    }
}

/// A reclaimed member that joins again would bring back permit counters that are already
/// settled, and so grant permits twice.
#[test]
fn a_reclaimed_member_does_not_join_again() {
    let (a, b) = (member("a", 1), member("b", 1));
    let join = |member: &Member| Transition::Join { member: member.clone(), record: record() };
    let mut cluster_state =
        ClusterState::default().apply(&join(&a)).unwrap().apply(&join(&b)).unwrap();
    cluster_state = cluster_state.apply(&Transition::Fence { lost: a.clone() }).unwrap();
    let settlement =
        vg_limit::Settlement { member: b, closed: a.clone(), balances: BTreeMap::new() };
    cluster_state =
        cluster_state.apply(&Transition::Ledger(LedgerChange::Settle(settlement))).unwrap();
    let reclaim = Transition::Reclaim {
        lost: BTreeSet::from([a.clone()]),
        voters_epoch: cluster_state.voters_epoch,
    };
    cluster_state = cluster_state.apply(&reclaim).unwrap();
    assert!(cluster_state.is_retired(&a));
    assert!(matches!(cluster_state.apply(&join(&a)), Err(ClusterStateError::Superseded { .. })));
    assert!(cluster_state.apply(&join(&member("a", 2))).is_ok());
}

/// If another member could take a pool from an active owner, two members would dispatch it.
#[test]
fn a_pool_changes_its_owner_only_if_the_owner_releases_it_or_is_fenced() {
    let cluster_state = target_size_state(3);
    let (pool, held) = cluster_state.owners.iter().next().unwrap();
    let other = cluster_state.active().find(|each| **each != held.owner).unwrap().clone();
    let release = |by: &Member| Transition::Release { pool: pool.clone(), by: by.clone() };
    let voters_epoch = cluster_state.voters_epoch;
    assert!(matches!(
        cluster_state.apply(&release(&other)),
        Err(ClusterStateError::NotOwner { .. })
    ));
    let reassign = Transition::ReassignPools { lost: held.owner.clone(), voters_epoch };
    assert!(matches!(cluster_state.apply(&reassign), Err(ClusterStateError::WrongState { .. })));
    let fenced = cluster_state.apply(&Transition::Fence { lost: held.owner.clone() }).unwrap();
    assert_eq!(fenced.owners[pool].owner, held.owner, "a fence alone does not reassign the pool");
    let reassigned = fenced.apply(&reassign).unwrap();
    assert_ne!(reassigned.owners[pool].owner, held.owner);
    assert!(reassigned.owners[pool].epoch > held.epoch);
}

/// A departed member counts as stopped. If it still owned pools, they would be reassigned
/// while it may be dispatching them.
#[test]
fn a_leaving_member_departs_only_without_pools() {
    let cluster_state = target_size_state(3);
    let owner = cluster_state.owners.values().next().unwrap().owner.clone();
    let depart = Transition::Depart { member: owner.clone() };
    assert!(matches!(cluster_state.apply(&depart), Err(ClusterStateError::WrongState { .. })));
    let mut cluster_state =
        cluster_state.apply(&Transition::Leave { member: owner.clone() }).unwrap();
    assert!(matches!(cluster_state.apply(&depart), Err(ClusterStateError::StillOwner { .. })));
    let held: Vec<PoolId> = cluster_state
        .owners
        .iter()
        .filter(|(_, held)| held.owner == owner)
        .map(|(pool, _)| pool.clone())
        .collect();
    for pool in held {
        cluster_state =
            cluster_state.apply(&Transition::Release { pool, by: owner.clone() }).unwrap();
    }
    assert!(
        cluster_state
            .apply(&depart)
            .unwrap()
            .member_state(&owner)
            .is_some_and(MemberState::is_stopped)
    );
}

/// Each handover interrupts a pool. A joining member must not move pools between other
/// members, and must get about its share of the pools.
#[test]
fn a_joining_member_moves_pools_only_to_itself() {
    let pools: Vec<PoolId> = names("pool", 540);
    let before: Vec<Member> = (0..9).map(|i| member(&format!("entry-{i}"), 1)).collect();
    let mut after = before.clone();
    after.push(member("entry-9", 1));
    let moved =
        pools.iter().filter(|pool| choose_owner(pool, &before) != choose_owner(pool, &after));
    let moved: Vec<&PoolId> = moved.collect();
    assert!(moved.iter().all(|pool| choose_owner(pool, &after) == after.last()));
    assert!((30..90).contains(&moved.len()), "{} of 540 pools moved", moved.len());
}
