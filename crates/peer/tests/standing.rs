//! When a member may act.

use vg_base::prelude::*;
use vg_limit::faults::{NoFaults, PermitFaults};
use vg_peer::faults::PeerFaults;
use vg_peer::{
    Book, Standing, StandingRefusal, Statement, Timing, TimingError, Transition, VoterStep,
};

mod common;

use common::{member, record};

fn book() -> Book {
    let mut book = Book::default();
    for name in ["a", "b", "c"] {
        let join = Transition::Join { member: member(name, 1), record: record() };
        book = book.apply(&join).unwrap();
        if !book.voters.contains(&member(name, 1).node) {
            let step = VoterStep::Add(member(name, 1).node);
            let after = book.voters_epoch;
            book = book.apply(&Transition::StepVoters { step, after }).unwrap();
        }
    }
    book
}

fn cut_off(book: &Book) -> Statement {
    Statement {
        contact: false,
        vote: true,
        book: book.epoch,
        voters: book.voters_epoch,
        revision: Revision(1),
        age: None,
    }
}

fn standing<F: PeerFaults>(book: &Book, start: Instant) -> Standing<F> {
    let mut standing = Standing::with_faults(member("a", 1), Timing::default());
    standing.apply(book, true);
    standing.note_lease(start, Timing::default().lease);
    standing.set_revision(Revision(1));
    standing
}

#[test]
fn a_lease_counts_from_before_its_renewal_and_less_a_margin() {
    let (book, start) = (book(), Instant::now());
    let standing = standing::<NoFaults>(&book, start);
    assert_eq!(standing.may_act(start + Duration::from_millis(2699)), Ok(()));
    assert!(standing.may_act(start + Duration::from_millis(2700)).is_err());
}

#[test]
fn without_the_store_a_majority_of_voters_has_to_say_the_same() {
    let (book, start) = (book(), Instant::now());
    let mut standing = standing::<NoFaults>(&book, start);
    let later = start + Duration::from_secs(10);
    let cut = Err(StandingRefusal::CutOff { support: 1, needed: 2 });
    assert_eq!(standing.may_act(later), cut);
    let reached = Statement { contact: true, ..cut_off(&book) };
    standing.note_statement(&member("b", 1), later, reached);
    assert_eq!(standing.may_act(later), cut);
    standing.note_statement(&member("c", 1), later, cut_off(&book));
    assert_eq!(standing.may_act(later), Ok(()));
    assert_eq!(standing.may_act(later + Timing::default().grace), cut);
}

#[test]
fn a_member_whose_lease_lapsed_while_the_store_answers_does_not_act() {
    let (book, start) = (book(), Instant::now());
    let mut standing = standing::<NoFaults>(&book, start);
    let later = start + Duration::from_secs(10);
    standing.note_contact(later);
    standing.note_statement(&member("b", 1), later, cut_off(&book));
    assert_eq!(standing.may_act(later), Err(StandingRefusal::Lapsed));
}

fn acts_on_later_voters<F: PeerFaults>() -> bool {
    let (book, start) = (book(), Instant::now());
    let mut standing = standing::<F>(&book, start);
    let later = start + Duration::from_secs(10);
    let statement = Statement { voters: book.voters_epoch.next(), ..cut_off(&book) };
    standing.note_statement(&member("b", 1), later, statement);
    standing.may_act(later).is_ok()
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
    let (book, start) = (book(), Instant::now());
    let mut standing = standing::<NoFaults>(&book, start);
    let timing = Timing::default();
    assert!(standing.fresh(start).is_err());
    standing.note_revision(start, Revision(1));
    assert_eq!(standing.fresh(start + timing.fresh / 2), Ok(()));
    assert!(standing.fresh(start + timing.fresh).is_err());
    // A peer's confirmation counts from its age before the question.
    let later = start + Duration::from_secs(10);
    let statement = Statement { contact: true, age: Some(1000), ..cut_off(&book) };
    standing.note_statement(&member("b", 1), later, statement);
    let end = later + timing.fresh - Duration::from_millis(1000);
    assert_eq!(standing.fresh(end - Duration::from_millis(1)), Ok(()));
    assert!(standing.fresh(end).is_err());
}

#[test]
fn a_later_revision_makes_the_one_in_force_stale_in_time() {
    let (book, start) = (book(), Instant::now());
    let mut standing = standing::<NoFaults>(&book, start);
    standing.note_revision(start, Revision(1));
    standing.note_revision(start + Duration::from_secs(2), Revision(2));
    let late = start + Duration::from_secs(3);
    assert!(standing.fresh(late).is_err());
    standing.set_revision(Revision(2));
    assert_eq!(standing.fresh(late), Ok(()));
}

#[test]
fn times_that_pass_rights_within_a_lease_are_refused() {
    assert_eq!(Timing::default().check(), Ok(()));
    let short =
        Timing { grace: Duration::from_millis(2100), quiet: Duration::ZERO, ..Timing::default() };
    assert_eq!(short.check(), Err(TimingError::PassTooEarly));
}
