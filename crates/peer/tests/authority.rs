//! When a member may act.

use vg_base::prelude::*;
use vg_limit::faults::{NoFaults, PermitFaults};
use vg_peer::faults::PeerFaults;
use vg_peer::{
    Authority, AuthorityRefusal, ClusterState, StatusReport, Timing, TimingError, Transition,
    VoterChange,
};

mod common;

use common::{member, record};

fn cluster_state() -> ClusterState {
    let mut cluster_state = ClusterState::default();
    for name in ["a", "b", "c"] {
        let join = Transition::Join { member: member(name, 1), record: record() };
        cluster_state = cluster_state.apply(&join).unwrap();
        if !cluster_state.voters.contains(&member(name, 1).node) {
            let step = VoterChange::Add(member(name, 1).node);
            let voters_epoch = cluster_state.voters_epoch;
            cluster_state = cluster_state
                .apply(&Transition::ChangeVoters { change: step, voters_epoch })
                .unwrap();
        }
    }
    cluster_state
}

fn cut_off(cluster_state: &ClusterState) -> StatusReport {
    StatusReport {
        store_contact: false,
        vote: true,
        state_epoch: cluster_state.epoch,
        voters_epoch: cluster_state.voters_epoch,
        revision: Revision(1),
        age_ms: None,
    }
}

fn authority<F: PeerFaults>(cluster_state: &ClusterState, start: Instant) -> Authority<F> {
    let mut authority = Authority::with_faults(member("a", 1), Timing::default());
    authority.apply(cluster_state, true);
    authority.note_lease(start, Timing::default().lease_ttl);
    authority.set_revision(Revision(1));
    authority
}

#[test]
fn a_lease_counts_from_before_its_renewal_and_less_a_margin() {
    let (cluster_state, start) = (cluster_state(), Instant::now());
    let authority = authority::<NoFaults>(&cluster_state, start);
    assert_eq!(authority.may_act(start + Duration::from_millis(2699)), Ok(()));
    assert!(authority.may_act(start + Duration::from_millis(2700)).is_err());
}

#[test]
fn without_the_store_a_majority_of_voters_has_to_say_the_same() {
    let (cluster_state, start) = (cluster_state(), Instant::now());
    let mut authority = authority::<NoFaults>(&cluster_state, start);
    let later = start + Duration::from_secs(10);
    let cut = Err(AuthorityRefusal::NoQuorum { support: 1, needed: 2 });
    assert_eq!(authority.may_act(later), cut);
    let reached = StatusReport { store_contact: true, ..cut_off(&cluster_state) };
    authority.note_report(&member("b", 1), later, reached);
    assert_eq!(authority.may_act(later), cut);
    authority.note_report(&member("c", 1), later, cut_off(&cluster_state));
    assert_eq!(authority.may_act(later), Ok(()));
    assert_eq!(authority.may_act(later + Timing::default().report_ttl), cut);
}

#[test]
fn a_member_whose_lease_lapsed_while_the_store_answers_does_not_act() {
    let (cluster_state, start) = (cluster_state(), Instant::now());
    let mut authority = authority::<NoFaults>(&cluster_state, start);
    let later = start + Duration::from_secs(10);
    authority.note_contact(later);
    authority.note_report(&member("b", 1), later, cut_off(&cluster_state));
    assert_eq!(authority.may_act(later), Err(AuthorityRefusal::LeaseExpired));
}

fn acts_on_later_voters<F: PeerFaults>() -> bool {
    let (cluster_state, start) = (cluster_state(), Instant::now());
    let mut authority = authority::<F>(&cluster_state, start);
    let later = start + Duration::from_secs(10);
    let report =
        StatusReport { voters_epoch: cluster_state.voters_epoch.next(), ..cut_off(&cluster_state) };
    authority.note_report(&member("b", 1), later, report);
    authority.may_act(later).is_ok()
}

#[test]
fn a_peer_that_knows_later_voters_does_not_count() {
    #[derive(Debug, Clone, Copy, Default)]
    struct Fault;
    impl PermitFaults for Fault {}
    impl PeerFaults for Fault {
        const IGNORE_VOTERS_EPOCH: bool = true;
    }
    assert!(!acts_on_later_voters::<NoFaults>());
    assert!(acts_on_later_voters::<Fault>(), "the fault would be found");
}

#[test]
fn a_revision_is_fresh_for_a_while_after_it_was_confirmed() {
    let (cluster_state, start) = (cluster_state(), Instant::now());
    let mut authority = authority::<NoFaults>(&cluster_state, start);
    let timing = Timing::default();
    assert!(authority.check_fresh(start).is_err());
    authority.note_revision(start, Revision(1));
    assert_eq!(authority.check_fresh(start + timing.config_ttl / 2), Ok(()));
    assert!(authority.check_fresh(start + timing.config_ttl).is_err());
    // A peer's confirmation counts from its age before the question.
    let later = start + Duration::from_secs(10);
    let report =
        StatusReport { store_contact: true, age_ms: Some(1000), ..cut_off(&cluster_state) };
    authority.note_report(&member("b", 1), later, report);
    let end = later + timing.config_ttl - Duration::from_millis(1000);
    assert_eq!(authority.check_fresh(end - Duration::from_millis(1)), Ok(()));
    assert!(authority.check_fresh(end).is_err());
}

#[test]
fn a_later_revision_makes_the_one_in_force_stale_in_time() {
    let (cluster_state, start) = (cluster_state(), Instant::now());
    let mut authority = authority::<NoFaults>(&cluster_state, start);
    authority.note_revision(start, Revision(1));
    authority.note_revision(start + Duration::from_secs(2), Revision(2));
    let late = start + Duration::from_secs(3);
    assert!(authority.check_fresh(late).is_err());
    authority.set_revision(Revision(2));
    assert_eq!(authority.check_fresh(late), Ok(()));
}

#[test]
fn times_that_pass_rights_within_a_lease_are_refused() {
    assert_eq!(Timing::default().check(), Ok(()));
    let short = Timing {
        report_ttl: Duration::from_millis(2100),
        fence_delay: Duration::ZERO,
        ..Timing::default()
    };
    assert_eq!(short.check(), Err(TimingError::ReassignTooEarly));
}
