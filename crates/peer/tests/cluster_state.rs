//! Transitions, size and codec of the book.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_limit::{GrantAdjustment, LedgerChange};
use vg_peer::{ClusterState, ClusterStateError, MemberState, Transition, choose_owner};

mod common;

use common::{member, record};

fn names<T: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, count: usize) -> Vec<T> {
    (0..count).map(|i| format!("{kind}-{i:02}").parse().unwrap()).collect()
}

fn target(members: usize) -> ClusterState {
    let teams: Vec<TeamId> = names("team-of-some-name", 65);
    let pools: Vec<PoolId> = names("pool-of-some-name", 54);
    let limits: BTreeMap<TeamId, Permits> =
        teams.iter().cloned().map(|team| (team, Permits(400))).collect();
    let revision = Revision(1);
    let lists = Transition::SetLists { revision, limits, pools: pools.into_iter().collect() };
    let mut cluster_state = ClusterState::default().apply(&lists).unwrap();
    for index in 0..members {
        let by = member(&format!("entry-{index:02}"), 1_790_000_000_000_000 + index as u64);
        cluster_state = cluster_state
            .apply(&Transition::Join { member: by.clone(), record: record() })
            .unwrap();
        let take = teams.iter().cloned().map(|team| (team, Permits(20))).collect();
        let adjust =
            GrantAdjustment { member: by, serial: 1, returned: BTreeMap::new(), requested: take };
        cluster_state =
            cluster_state.apply(&Transition::Ledger(LedgerChange::Adjust(adjust))).unwrap();
    }
    cluster_state.apply(&Transition::AssignPools).unwrap()
}

#[test]
fn the_book_of_the_target_size_is_well_below_a_megabyte() {
    let mut cluster_state = target(18);
    // Twice the members: every one was just replaced.
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

#[test]
fn a_book_of_a_newer_format_is_refused_and_so_is_what_is_no_book() {
    let mut bytes = target(1).encode().unwrap();
    bytes[0] = 2;
    assert_eq!(ClusterState::decode(&bytes), Err(ClusterStateError::Newer { found: 2, known: 1 }));
    for bad in [&b""[..], b"\x01", b"\x01\xff\xff", b"{}"] {
        assert!(ClusterState::decode(bad).is_err());
    }
}

#[test]
fn a_reclaimed_member_does_not_join_again() {
    let (a, b) = (member("a", 1), member("b", 1));
    let join = |member: &Member| Transition::Join { member: member.clone(), record: record() };
    let mut cluster_state =
        ClusterState::default().apply(&join(&a)).unwrap().apply(&join(&b)).unwrap();
    cluster_state = cluster_state.apply(&Transition::Fence { lost: a.clone() }).unwrap();
    let settle = vg_limit::Settlement { member: b, closed: a.clone(), balances: BTreeMap::new() };
    cluster_state = cluster_state.apply(&Transition::Ledger(LedgerChange::Settle(settle))).unwrap();
    let reclaim = Transition::Reclaim {
        lost: BTreeSet::from([a.clone()]),
        voters_epoch: cluster_state.voters_epoch,
    };
    cluster_state = cluster_state.apply(&reclaim).unwrap();
    assert!(cluster_state.is_retired(&a));
    assert!(matches!(cluster_state.apply(&join(&a)), Err(ClusterStateError::Superseded { .. })));
    assert!(cluster_state.apply(&join(&member("a", 2))).is_ok());
}

#[test]
fn a_pool_passes_only_from_an_owner_that_releases_it_or_is_fenced() {
    let cluster_state = target(3);
    let (pool, held) = cluster_state.owners.iter().next().unwrap();
    let other = cluster_state.active().find(|each| **each != held.owner).unwrap().clone();
    let release = |by: &Member| Transition::Release { pool: pool.clone(), by: by.clone() };
    let voters_epoch = cluster_state.voters_epoch;
    assert!(matches!(
        cluster_state.apply(&release(&other)),
        Err(ClusterStateError::NotOwner { .. })
    ));
    let take = Transition::ReassignPools { lost: held.owner.clone(), voters_epoch };
    assert!(matches!(cluster_state.apply(&take), Err(ClusterStateError::WrongState { .. })));
    let fenced = cluster_state.apply(&Transition::Fence { lost: held.owner.clone() }).unwrap();
    assert_eq!(fenced.owners[pool].owner, held.owner, "not before it may pass");
    let taken = fenced.apply(&take).unwrap();
    assert_ne!(taken.owners[pool].owner, held.owner);
    assert!(taken.owners[pool].epoch > held.epoch);
}

#[test]
fn a_leaving_member_departs_only_without_pools() {
    let cluster_state = target(3);
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

#[test]
fn a_member_that_joins_moves_only_pools_to_itself() {
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
