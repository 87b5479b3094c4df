//! Tests of when a member may act.

use vg_base::prelude::*;
use vg_limit::faults::{NoFaults, PermitFaults};
use vg_peer::faults::PeerFaults;
use vg_peer::{
    Authority, AuthorityRefusal, ClusterState, StatusReport, Timing, TimingError, Transition,
    VoterChange,
};

mod common;

use common::{member, record};

/// Creates a cluster state with the members `a`, `b` and `c`, which are all voters.
fn three_voters() -> ClusterState {
    let mut cluster_state = ClusterState::default();
    for name in ["a", "b", "c"] {
        let join = Transition::Join { member: member(name, 1), record: record() };
        cluster_state = cluster_state.apply(&join).unwrap();
        if !cluster_state.voters.contains(&member(name, 1).node) {
            let change = VoterChange::Add(member(name, 1).node);
            let voters_epoch = cluster_state.voters_epoch;
            cluster_state =
                cluster_state.apply(&Transition::ChangeVoters { change, voters_epoch }).unwrap();
        }
    }
    cluster_state
}

/// Creates the status report of a voter without contact to the store.
fn outage_report(cluster_state: &ClusterState) -> StatusReport {
    StatusReport {
        store_contact: false,
        vote: true,
        state_epoch: cluster_state.epoch,
        voters_epoch: cluster_state.voters_epoch,
        revision: Revision(1),
        age_ms: None,
    }
}

/// Creates the authority of `a`, with a lease since `start` and revision 1 in force.
fn leased_authority<F: PeerFaults>(cluster_state: &ClusterState, start: Instant) -> Authority<F> {
    let mut authority = Authority::with_faults(member("a", 1), Timing::default());
    authority.apply(cluster_state, true);
    authority.note_lease(start, Timing::default().lease_ttl);
    authority.set_revision(Revision(1));
    authority
}

/// The lease starts in the store at some time after the request was sent, and the clocks of
/// the store and the member may run at different speeds. A member that counts its lease for
/// too long would act after its rights were reassigned.
#[test]
fn a_lease_counts_from_its_request_minus_the_clock_margin() {
    let (cluster_state, start) = (three_voters(), Instant::now());
    let authority = leased_authority::<NoFaults>(&cluster_state, start);
    assert_eq!(authority.may_act(start + Duration::from_millis(2699)), Ok(()));
    assert!(authority.may_act(start + Duration::from_millis(2700)).is_err());
}

/// A member that alone is cut off from the store will be fenced. It must stop unless a
/// majority of the voters currently reports that the store is out of reach.
#[test]
fn without_the_store_a_majority_of_the_voters_must_report_the_same() {
    let (cluster_state, start) = (three_voters(), Instant::now());
    let mut authority = leased_authority::<NoFaults>(&cluster_state, start);
    let later = start + Duration::from_secs(10);
    let no_quorum = Err(AuthorityRefusal::NoQuorum { support: 1, needed: 2 });
    assert_eq!(authority.may_act(later), no_quorum);
    let contact_report = StatusReport { store_contact: true, ..outage_report(&cluster_state) };
    authority.note_report(&member("b", 1), later, contact_report);
    assert_eq!(authority.may_act(later), no_quorum);
    authority.note_report(&member("c", 1), later, outage_report(&cluster_state));
    assert_eq!(authority.may_act(later), Ok(()));
    assert_eq!(authority.may_act(later + Timing::default().report_ttl), no_quorum);
}

/// A member that reaches the store would renew its lease there, so an expired lease may mean
/// that it was fenced. Without a majority of reports it must not act.
#[test]
fn a_member_with_an_expired_lease_does_not_act_while_the_store_answers() {
    let (cluster_state, start) = (three_voters(), Instant::now());
    let mut authority = leased_authority::<NoFaults>(&cluster_state, start);
    let later = start + Duration::from_secs(10);
    authority.note_contact(later);
    authority.note_report(&member("b", 1), later, outage_report(&cluster_state));
    assert_eq!(authority.may_act(later), Err(AuthorityRefusal::LeaseExpired));
}

/// Whether a member acts without a lease on the report of a peer that knows later voters.
fn acts_on_later_voters<F: PeerFaults>() -> bool {
    let (cluster_state, start) = (three_voters(), Instant::now());
    let mut authority = leased_authority::<F>(&cluster_state, start);
    let later = start + Duration::from_secs(10);
    let report = StatusReport {
        voters_epoch: cluster_state.voters_epoch.next(),
        ..outage_report(&cluster_state)
    };
    authority.note_report(&member("b", 1), later, report);
    authority.may_act(later).is_ok()
}

/// Majorities of voter sets that are more than one change apart may have no node in common.
/// A report of a peer that knows later voters therefore must not count.
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

/// A member must not admit work on outdated lists. A confirmation that a peer passes on is
/// older than the message by the age that the peer reports.
#[test]
fn a_revision_is_current_for_the_config_ttl_after_its_confirmation() {
    let (cluster_state, start) = (three_voters(), Instant::now());
    let mut authority = leased_authority::<NoFaults>(&cluster_state, start);
    let timing = Timing::default();
    assert!(authority.check_fresh(start).is_err());
    authority.note_revision(start, Revision(1));
    assert_eq!(authority.check_fresh(start + timing.config_ttl / 2), Ok(()));
    assert!(authority.check_fresh(start + timing.config_ttl).is_err());
    // The confirmation of a peer counts from its age before the request.
    let later = start + Duration::from_secs(10);
    let report =
        StatusReport { store_contact: true, age_ms: Some(1000), ..outage_report(&cluster_state) };
    authority.note_report(&member("b", 1), later, report);
    let end = later + timing.config_ttl - Duration::from_millis(1000);
    assert_eq!(authority.check_fresh(end - Duration::from_millis(1)), Ok(()));
    assert!(authority.check_fresh(end).is_err());
}

/// A member that knows that a later revision exists must not admit work on its earlier lists
/// any more once their own confirmation has expired.
#[test]
fn a_known_later_revision_makes_the_revision_in_force_stale() {
    let (cluster_state, start) = (three_voters(), Instant::now());
    let mut authority = leased_authority::<NoFaults>(&cluster_state, start);
    authority.note_revision(start, Revision(1));
    authority.note_revision(start + Duration::from_secs(2), Revision(2));
    let late = start + Duration::from_secs(3);
    assert!(authority.check_fresh(late).is_err());
    authority.set_revision(Revision(2));
    assert_eq!(authority.check_fresh(late), Ok(()));
}

/// If the fence delay and the report TTL are shorter than the lease, rights are reassigned
/// while the fenced member can still act on its lease.
#[test]
fn timing_that_reassigns_rights_within_a_lease_is_refused() {
    assert_eq!(Timing::default().check(), Ok(()));
    let short = Timing {
        report_ttl: Duration::from_millis(2100),
        fence_delay: Duration::ZERO,
        ..Timing::default()
    };
    assert_eq!(short.check(), Err(TimingError::ReassignTooEarly));
}
