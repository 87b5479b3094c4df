//! Units under lost, doubled and late messages, returns and lost members.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_limit::faults::{NoFaults, PermitFaults};
use vg_limit::{
    Balance, LedgerChange, LedgerError, LimitRefusal, MemberPermits, PermitLedger, PermitRequest,
    Settlement,
};

fn member(name: &str) -> Member {
    Member { node: name.parse().unwrap(), incarnation: Incarnation(1) }
}

fn team() -> TeamId {
    "bakery".parse().unwrap()
}

/// The book and the ledgers of `a`, `b` and `c`.
struct Site<F: PermitFaults> {
    epoch: Epoch,
    book: PermitLedger,
    ledgers: Vec<MemberPermits<F>>,
}

impl<F: PermitFaults> Site<F> {
    /// The first member takes all units of the limit.
    fn new(limit: u32) -> Site<F> {
        let members = ["a", "b", "c"].map(member);
        let ledgers: Vec<MemberPermits<F>> =
            members.iter().cloned().map(MemberPermits::with_faults).collect();
        let mut site = Site { epoch: Epoch(1), book: PermitLedger::default(), ledgers };
        site.book.set_limits(Revision(1), BTreeMap::from([(team(), Units(limit))])).unwrap();
        members.iter().for_each(|each| site.book.open_account(each).unwrap());
        site.apply();
        site.ledgers[0].set_wanted(&team(), Units(limit));
        site.commit(0);
        site.ledgers[0].set_wanted(&team(), Units::ZERO);
        site
    }

    fn apply(&mut self) {
        self.ledgers.iter_mut().for_each(|each| each.apply(self.epoch, &self.book));
    }

    fn commit(&mut self, at: usize) {
        for change in self.ledgers[at].propose_changes(self.epoch, &self.book) {
            self.book.apply_change::<F>(&change).unwrap();
        }
        self.epoch = self.epoch.next();
        self.apply();
    }

    fn set_limit(&mut self, limit: u32) {
        let revision = self.book.revision.next();
        self.book.set_limits(revision, BTreeMap::from([(team(), Units(limit))])).unwrap();
        self.epoch = self.epoch.next();
        self.apply();
    }

    fn held(&self, at: usize) -> u32 {
        self.ledgers[at].holding(&team()).map_or(0, |holding| holding.held().get())
    }

    /// `to` asks `from`; returns the answer, which has not arrived yet.
    fn ask(&mut self, to: usize, from: usize, units: u32) -> vg_limit::PermitReply {
        let wanted = BTreeMap::from([(team(), Units(units))]);
        let (asker, giver) = (self.ledgers[to].me().clone(), self.ledgers[from].me().clone());
        let request = PermitRequest { from: asker, to: giver, wanted };
        self.ledgers[from].answer_request(&request).unwrap()
    }
}

#[test]
fn a_run_needs_an_idle_unit_and_gives_it_back_once() {
    let mut site: Site<NoFaults> = Site::new(2);
    let ledger = &mut site.ledgers[0];
    let first = ledger.try_start(&team()).unwrap();
    ledger.try_start(&team()).unwrap();
    assert!(matches!(ledger.try_start(&team()), Err(LimitRefusal::NoUnits { .. })));
    assert!(ledger.finish(first).is_some());
    assert!(ledger.finish(first).is_none());
    assert!(ledger.try_start_many(&team(), Units(2)).is_err());
    assert!(ledger.try_start(&team()).is_ok());
    let unknown: TeamId = "dairy".parse().unwrap();
    assert!(matches!(ledger.try_start(&unknown), Err(LimitRefusal::NoLimit { .. })));
}

#[test]
fn units_move_in_one_round_trip_and_a_doubled_answer_adds_nothing() {
    let mut site: Site<NoFaults> = Site::new(6);
    let reply = site.ask(1, 0, 4);
    assert_eq!(site.held(0), 2, "lowered before the answer is on its way");
    site.ledgers[1].receive_reply(&reply);
    site.ledgers[1].receive_reply(&reply);
    assert_eq!(site.held(1), 4);
}

#[test]
fn a_later_message_makes_up_for_a_lost_one_in_any_order() {
    let mut site: Site<NoFaults> = Site::new(6);
    let lost = site.ask(1, 0, 1);
    let late = site.ask(1, 0, 1);
    let last = site.ask(1, 0, 1);
    site.ledgers[1].receive_reply(&last);
    assert_eq!(site.held(1), 3);
    site.ledgers[1].receive_reply(&late);
    site.ledgers[1].receive_reply(&lost);
    assert_eq!(site.held(1), 3);
}

#[test]
fn counters_that_the_peer_has_are_not_sent_again() {
    let mut site: Site<NoFaults> = Site::new(6);
    let reply = site.ask(1, 0, 4);
    site.ledgers[1].receive_reply(&reply);
    let (a, b) = (member("a"), member("b"));
    let back = site.ledgers[1].transfer_counters(&a).unwrap();
    site.ledgers[0].receive(&b, &a, &back);
    assert!(site.ledgers[0].transfer_counters(&b).unwrap().sent.is_empty());
}

#[test]
fn a_message_for_an_earlier_incarnation_has_no_effect() {
    let mut site: Site<NoFaults> = Site::new(6);
    let mut reply = site.ask(1, 0, 4);
    reply.to.incarnation = Incarnation(0);
    assert!(site.ledgers[1].receive_reply(&reply).is_empty());
}

#[test]
fn a_lowered_limit_stops_starts_until_the_grants_fit() {
    let mut site: Site<NoFaults> = Site::new(6);
    let run = site.ledgers[0].try_start_many(&team(), Units(4)).unwrap();
    site.set_limit(3);
    assert!(matches!(site.ledgers[0].try_start(&team()), Err(LimitRefusal::OverLimit { .. })));
    site.commit(0);
    assert_eq!(site.book.granted(&team()), Balance(4), "idle units go back, running ones stay");
    assert!(site.ledgers[0].try_start(&team()).is_err());
    site.ledgers[0].finish(run);
    site.commit(0);
    assert_eq!(site.book.granted(&team()), Balance(3));
    assert!(site.ledgers[0].try_start_many(&team(), Units(3)).is_ok());
}

#[test]
fn a_team_that_is_gone_from_the_lists_starts_nothing() {
    let mut site: Site<NoFaults> = Site::new(6);
    site.book.set_limits(Revision(9), BTreeMap::new()).unwrap();
    site.epoch = site.epoch.next();
    site.apply();
    assert!(site.ledgers[0].try_start(&team()).is_err());
    site.commit(0);
    assert_eq!(site.book.granted(&team()), Balance(0));
}

#[test]
fn a_return_whose_answer_was_lost_stays_reserved_until_the_book_tells() {
    let mut site: Site<NoFaults> = Site::new(6);
    site.set_limit(2);
    let first = site.ledgers[0].propose_changes(site.epoch, &site.book);
    assert_eq!(site.held(0), 2);
    assert_eq!(site.ledgers[0].propose_changes(site.epoch, &site.book), first, "the same again");
    // It took effect; the repetition is refused.
    site.book.apply_change::<NoFaults>(&first[0]).unwrap();
    let again = site.book.clone().apply_change::<NoFaults>(&first[0]);
    assert!(matches!(again, Err(LedgerError::Repeated { .. })));
    site.epoch = site.epoch.next();
    site.apply();
    assert_eq!(site.held(0), 2);
}

#[test]
fn a_return_that_lost_the_race_is_released() {
    let mut site: Site<NoFaults> = Site::new(6);
    site.set_limit(2);
    site.ledgers[0].propose_changes(site.epoch, &site.book);
    site.set_limit(6);
    assert_eq!(site.held(0), 6);
}

/// `a` is fenced after it gave units to `b`; then a late answer of `a` comes
/// while the settlement of `b` is on its way.
fn late_answer_of_a_fenced_member<F: PermitFaults>() -> i64 {
    let mut site: Site<F> = Site::new(6);
    let reply = site.ask(1, 0, 2);
    site.ledgers[1].receive_reply(&reply);
    let late = site.ask(1, 0, 2);
    site.book.close_account(&member("a")).unwrap();
    site.epoch = site.epoch.next();
    site.ledgers[1].apply(site.epoch, &site.book);
    site.ledgers[2].apply(site.epoch, &site.book);
    let settle = site.ledgers[1].propose_changes(site.epoch, &site.book);
    site.ledgers[1].receive_reply(&late);
    let on = site.ask(2, 1, 6);
    site.ledgers[2].receive_reply(&on);
    settle.iter().for_each(|change| site.book.apply_change::<F>(change).unwrap());
    site.epoch = site.epoch.next();
    site.ledgers[1].apply(site.epoch, &site.book);
    site.ledgers[2].apply(site.epoch, &site.book);
    let settle = site.ledgers[2].propose_changes(site.epoch, &site.book);
    settle.iter().for_each(|change| site.book.apply_change::<F>(change).unwrap());
    site.book.reclaim::<F>(&BTreeSet::from([member("a")])).unwrap();
    i64::from(site.held(1) + site.held(2) + site.book.free(&team()).get())
}

#[test]
fn a_fenced_members_late_answer_brings_nothing() {
    #[derive(Debug, Clone, Copy, Default)]
    struct Fault;
    impl PermitFaults for Fault {
        const RECEIVE_AFTER_CLOSE: bool = true;
    }
    assert_eq!(late_answer_of_a_fenced_member::<NoFaults>(), 6);
    assert!(late_answer_of_a_fenced_member::<Fault>() > 6, "the fault would be found");
}

fn settled_twice<F: PermitFaults>() -> Result<(), LedgerError> {
    let mut site: Site<F> = Site::new(6);
    let reply = site.ask(1, 0, 2);
    site.ledgers[1].receive_reply(&reply);
    site.book.close_account(&member("a")).unwrap();
    site.epoch = site.epoch.next();
    site.apply();
    let settle = site.ledgers[1].propose_changes(site.epoch, &site.book);
    assert!(
        matches!(&settle[0], LedgerChange::Settle(Settlement { balances, .. }) if balances.len() == 1)
    );
    site.book.apply_change::<F>(&settle[0]).unwrap();
    site.book.apply_change::<F>(&settle[0])
}

#[test]
fn a_member_settles_once() {
    #[derive(Debug, Clone, Copy, Default)]
    struct Fault;
    impl PermitFaults for Fault {
        const SETTLE_TWICE: bool = true;
    }
    assert!(matches!(settled_twice::<NoFaults>(), Err(LedgerError::Settled { .. })));
    assert_eq!(settled_twice::<Fault>(), Ok(()), "the fault would be found");
}

#[test]
fn two_members_that_died_unsettled_are_reclaimed_together() {
    let mut site: Site<NoFaults> = Site::new(6);
    let reply = site.ask(1, 0, 4);
    site.ledgers[1].receive_reply(&reply);
    site.book.close_account(&member("a")).unwrap();
    site.book.close_account(&member("b")).unwrap();
    site.epoch = site.epoch.next();
    site.apply();
    site.commit(2);
    let alone = site.book.clone().reclaim::<NoFaults>(&BTreeSet::from([member("a")]));
    assert!(matches!(alone, Err(LedgerError::Unsettled { .. })));
    site.book.reclaim::<NoFaults>(&BTreeSet::from([member("a"), member("b")])).unwrap();
    assert_eq!(site.book.free(&team()), Units(6));
}

#[test]
fn a_member_that_died_after_settling_holds_up_nothing() {
    let mut site: Site<NoFaults> = Site::new(6);
    site.book.close_account(&member("a")).unwrap();
    site.epoch = site.epoch.next();
    site.apply();
    site.commit(1);
    site.commit(2);
    site.book.close_account(&member("b")).unwrap();
    assert_eq!(site.book.linked_accounts(&member("a")), BTreeSet::from([member("a")]));
    assert!(site.book.reclaim::<NoFaults>(&BTreeSet::from([member("a")])).is_ok());
}

#[test]
fn a_member_that_leaves_gives_all_idle_units_back() {
    let mut site: Site<NoFaults> = Site::new(6);
    site.ledgers[0].try_start(&team()).unwrap();
    site.ledgers[0].start_leaving();
    site.commit(0);
    assert_eq!(site.held(0), 1);
    assert_eq!(site.book.free(&team()), Units(5));
}

#[test]
fn waiting_work_gets_units_from_the_peer_with_the_most() {
    let mut site: Site<NoFaults> = Site::new(6);
    let advice = site.ledgers[0].permit_hints();
    site.ledgers[1].record_hints(&member("a"), &advice);
    site.ledgers[1].set_wanted(&team(), Units(3));
    let requests = site.ledgers[1].permit_requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].wanted[&team()], Units(3));
    let reply = site.ledgers[0].answer_request(&requests[0]).unwrap();
    site.ledgers[1].receive_reply(&reply);
    assert_eq!(site.held(1), 3);
}
