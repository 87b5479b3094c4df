//! Permits under lost, duplicated and delayed messages, returns and lost members.

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

/// The permit ledger and the permits of the members `a`, `b` and `c`.
struct Cluster<F: PermitFaults> {
    epoch: Epoch,
    ledger: PermitLedger,
    members: Vec<MemberPermits<F>>,
}

impl<F: PermitFaults> Cluster<F> {
    /// Makes a cluster whose first member holds all permits of the limit.
    fn new(limit: u32) -> Cluster<F> {
        let names = ["a", "b", "c"].map(member);
        let members: Vec<MemberPermits<F>> =
            names.iter().cloned().map(MemberPermits::with_faults).collect();
        let mut cluster = Cluster { epoch: Epoch(1), ledger: PermitLedger::default(), members };
        cluster.ledger.set_limits(Revision(1), BTreeMap::from([(team(), Permits(limit))])).unwrap();
        names.iter().for_each(|each| cluster.ledger.open_account(each).unwrap());
        cluster.apply();
        cluster.members[0].set_wanted(&team(), Permits(limit));
        cluster.commit(0);
        cluster.members[0].set_wanted(&team(), Permits::ZERO);
        cluster
    }

    /// Applies the current ledger at all members.
    fn apply(&mut self) {
        self.members.iter_mut().for_each(|each| each.apply(self.epoch, &self.ledger));
    }

    /// Commits the changes that one member proposes.
    fn commit(&mut self, at: usize) {
        for change in self.members[at].propose_changes(self.epoch, &self.ledger) {
            self.ledger.apply_change::<F>(&change).unwrap();
        }
        self.epoch = self.epoch.next();
        self.apply();
    }

    fn set_limit(&mut self, limit: u32) {
        let revision = self.ledger.revision.next();
        self.ledger.set_limits(revision, BTreeMap::from([(team(), Permits(limit))])).unwrap();
        self.epoch = self.epoch.next();
        self.apply();
    }

    fn held(&self, at: usize) -> u32 {
        self.members[at].holding(&team()).map_or(0, |holding| holding.held().get())
    }

    /// Lets `to` ask `from` for permits and returns the reply, which `to` has not
    /// received yet.
    fn ask(&mut self, to: usize, from: usize, permits: u32) -> vg_limit::PermitReply {
        let wanted = BTreeMap::from([(team(), Permits(permits))]);
        let (asker, sender) = (self.members[to].me().clone(), self.members[from].me().clone());
        let request = PermitRequest { from: asker, to: sender, wanted };
        self.members[from].answer_request(&request).unwrap()
    }
}

/// Guards against more runs than permits: a run that starts without an idle permit, or
/// whose permit is returned twice because the run is finished twice.
#[test]
fn finishing_a_run_returns_its_permit_once() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(2);
    let member = &mut cluster.members[0];
    let first = member.try_start(&team()).unwrap();
    member.try_start(&team()).unwrap();
    assert!(matches!(member.try_start(&team()), Err(LimitRefusal::InsufficientPermits { .. })));
    assert!(member.finish(first).is_some());
    assert!(member.finish(first).is_none());
    assert!(member.try_start_many(&team(), Permits(2)).is_err());
    assert!(member.try_start(&team()).is_ok());
    let unknown: TeamId = "dairy".parse().unwrap();
    assert!(matches!(member.try_start(&unknown), Err(LimitRefusal::NoLimit { .. })));
}

/// Guards against permits that are duplicated in a transfer: the sender still holds
/// them after it sent the reply, or the receiver credits the same reply twice.
#[test]
fn a_duplicate_reply_transfers_no_permits() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    let reply = cluster.ask(1, 0, 4);
    assert_eq!(cluster.held(0), 2, "the holding is lowered before the reply is sent");
    cluster.members[1].receive_reply(&reply);
    cluster.members[1].receive_reply(&reply);
    assert_eq!(cluster.held(1), 4);
}

/// Guards against permits that a lost message takes with it, and against permits that
/// are credited again when delayed messages arrive after a later one.
#[test]
fn a_later_message_replaces_lost_and_reordered_ones() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    let lost = cluster.ask(1, 0, 1);
    let late = cluster.ask(1, 0, 1);
    let last = cluster.ask(1, 0, 1);
    cluster.members[1].receive_reply(&last);
    assert_eq!(cluster.held(1), 3);
    cluster.members[1].receive_reply(&late);
    cluster.members[1].receive_reply(&lost);
    assert_eq!(cluster.held(1), 3);
}

/// Guards against messages that grow with each team: a counter stays in every message
/// after the peer has confirmed it.
#[test]
fn confirmed_counters_are_not_sent_again() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    let reply = cluster.ask(1, 0, 4);
    cluster.members[1].receive_reply(&reply);
    let (a, b) = (member("a"), member("b"));
    let back = cluster.members[1].transfer_counters(&a).unwrap();
    cluster.members[0].receive(&b, &a, &back);
    assert!(cluster.members[0].transfer_counters(&b).unwrap().sent.is_empty());
}

/// Guards against a restarted member that credits a message sent to its previous
/// incarnation, whose account is a different one.
#[test]
fn a_message_to_an_earlier_incarnation_is_ignored() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    let mut reply = cluster.ask(1, 0, 4);
    reply.to.incarnation = Incarnation(0);
    assert!(cluster.members[1].receive_reply(&reply).is_empty());
}

/// Guards against runs that start while more permits are granted than a lowered limit
/// allows, and against returning permits that runs still use.
#[test]
fn a_lowered_limit_blocks_starts_until_grants_fit() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    let run = cluster.members[0].try_start_many(&team(), Permits(4)).unwrap();
    cluster.set_limit(3);
    assert!(matches!(cluster.members[0].try_start(&team()), Err(LimitRefusal::OverLimit { .. })));
    cluster.commit(0);
    assert_eq!(
        cluster.ledger.granted(&team()),
        Balance(4),
        "idle permits are returned, used ones stay"
    );
    assert!(cluster.members[0].try_start(&team()).is_err());
    cluster.members[0].finish(run);
    cluster.commit(0);
    assert_eq!(cluster.ledger.granted(&team()), Balance(3));
    assert!(cluster.members[0].try_start_many(&team(), Permits(3)).is_ok());
}

/// Guards against a team that continues to start runs, or keeps its grants, after the
/// operators removed it from the lists.
#[test]
fn a_team_removed_from_the_lists_starts_no_runs() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    cluster.ledger.set_limits(Revision(9), BTreeMap::new()).unwrap();
    cluster.epoch = cluster.epoch.next();
    cluster.apply();
    assert!(cluster.members[0].try_start(&team()).is_err());
    cluster.commit(0);
    assert_eq!(cluster.ledger.granted(&team()), Balance(0));
}

/// Guards against permits that are used after their return took effect: the store's
/// answer to the commit was lost, so the member does not know the outcome.
#[test]
fn an_unresolved_return_stays_reserved() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    cluster.set_limit(2);
    let first = cluster.members[0].propose_changes(cluster.epoch, &cluster.ledger);
    assert_eq!(cluster.held(0), 2);
    assert_eq!(
        cluster.members[0].propose_changes(cluster.epoch, &cluster.ledger),
        first,
        "the same proposal is returned again"
    );
    // The return took effect, and applying it again is refused.
    cluster.ledger.apply_change::<NoFaults>(&first[0]).unwrap();
    let again = cluster.ledger.clone().apply_change::<NoFaults>(&first[0]);
    assert!(matches!(again, Err(LedgerError::DuplicateAdjustment { .. })));
    cluster.epoch = cluster.epoch.next();
    cluster.apply();
    assert_eq!(cluster.held(0), 2);
}

/// Guards against permits that stay reserved for ever: another commit changed the
/// ledger first, so the proposed return can no longer take effect.
#[test]
fn a_return_that_cannot_take_effect_is_released() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    cluster.set_limit(2);
    cluster.members[0].propose_changes(cluster.epoch, &cluster.ledger);
    cluster.set_limit(6);
    assert_eq!(cluster.held(0), 6);
}

/// Returns the permits that the live members hold plus those that no member holds,
/// after `a` sent permits to `b`, was fenced, and a late reply of `a` reached `b`
/// while the settlement of `b` was being committed.
fn permits_after_late_reply<F: PermitFaults>() -> i64 {
    let mut cluster: Cluster<F> = Cluster::new(6);
    let reply = cluster.ask(1, 0, 2);
    cluster.members[1].receive_reply(&reply);
    let late = cluster.ask(1, 0, 2);
    cluster.ledger.close_account(&member("a")).unwrap();
    cluster.epoch = cluster.epoch.next();
    cluster.members[1].apply(cluster.epoch, &cluster.ledger);
    cluster.members[2].apply(cluster.epoch, &cluster.ledger);
    let settlements = cluster.members[1].propose_changes(cluster.epoch, &cluster.ledger);
    cluster.members[1].receive_reply(&late);
    let forwarded = cluster.ask(2, 1, 6);
    cluster.members[2].receive_reply(&forwarded);
    settlements.iter().for_each(|change| cluster.ledger.apply_change::<F>(change).unwrap());
    cluster.epoch = cluster.epoch.next();
    cluster.members[1].apply(cluster.epoch, &cluster.ledger);
    cluster.members[2].apply(cluster.epoch, &cluster.ledger);
    let settlements = cluster.members[2].propose_changes(cluster.epoch, &cluster.ledger);
    settlements.iter().for_each(|change| cluster.ledger.apply_change::<F>(change).unwrap());
    cluster.ledger.reclaim::<F>(&BTreeSet::from([member("a")])).unwrap();
    i64::from(cluster.held(1) + cluster.held(2) + cluster.ledger.free(&team()).get())
}

/// Guards against permits that exist twice: a member receives permits from a closed
/// account after it proposed its settlement, which does not include them, and reclaiming
/// the closed account makes the same permits available again.
#[test]
fn a_late_reply_of_a_fenced_member_is_ignored() {
    #[derive(Debug, Clone, Copy, Default)]
    struct Fault;
    impl PermitFaults for Fault {
        const RECEIVE_AFTER_CLOSE: bool = true;
    }
    assert_eq!(permits_after_late_reply::<NoFaults>(), 6);
    assert!(permits_after_late_reply::<Fault>() > 6, "the test finds the injected fault");
}

/// Lets a member apply its settlement with a closed account twice.
fn settle_twice<F: PermitFaults>() -> Result<(), LedgerError> {
    let mut cluster: Cluster<F> = Cluster::new(6);
    let reply = cluster.ask(1, 0, 2);
    cluster.members[1].receive_reply(&reply);
    cluster.ledger.close_account(&member("a")).unwrap();
    cluster.epoch = cluster.epoch.next();
    cluster.apply();
    let settlements = cluster.members[1].propose_changes(cluster.epoch, &cluster.ledger);
    assert!(
        matches!(&settlements[0], LedgerChange::Settle(Settlement { balances, .. }) if balances.len() == 1)
    );
    cluster.ledger.apply_change::<F>(&settlements[0]).unwrap();
    cluster.ledger.apply_change::<F>(&settlements[0])
}

/// Guards against a settlement that is applied twice, which moves the same balances
/// twice when the commit is repeated after its answer was lost.
#[test]
fn a_member_settles_only_once() {
    #[derive(Debug, Clone, Copy, Default)]
    struct Fault;
    impl PermitFaults for Fault {
        const SETTLE_TWICE: bool = true;
    }
    assert!(matches!(settle_twice::<NoFaults>(), Err(LedgerError::AlreadySettled { .. })));
    assert_eq!(settle_twice::<Fault>(), Ok(()), "the test finds the injected fault");
}

/// Guards against permits that exist twice: two members are lost before they settle with
/// each other, and one account is reclaimed while the other still holds permits that it
/// received from it.
#[test]
fn unsettled_lost_members_are_reclaimed_together() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    let reply = cluster.ask(1, 0, 4);
    cluster.members[1].receive_reply(&reply);
    cluster.ledger.close_account(&member("a")).unwrap();
    cluster.ledger.close_account(&member("b")).unwrap();
    cluster.epoch = cluster.epoch.next();
    cluster.apply();
    cluster.commit(2);
    let alone = cluster.ledger.clone().reclaim::<NoFaults>(&BTreeSet::from([member("a")]));
    assert!(matches!(alone, Err(LedgerError::Unsettled { .. })));
    cluster.ledger.reclaim::<NoFaults>(&BTreeSet::from([member("a"), member("b")])).unwrap();
    assert_eq!(cluster.ledger.free(&team()), Permits(6));
}

/// Guards against an account that cannot be reclaimed because of a second lost member
/// that had already settled with it.
#[test]
fn a_settled_lost_member_does_not_delay_reclaiming() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    cluster.ledger.close_account(&member("a")).unwrap();
    cluster.epoch = cluster.epoch.next();
    cluster.apply();
    cluster.commit(1);
    cluster.commit(2);
    cluster.ledger.close_account(&member("b")).unwrap();
    assert_eq!(cluster.ledger.linked_accounts(&member("a")), BTreeSet::from([member("a")]));
    assert!(cluster.ledger.reclaim::<NoFaults>(&BTreeSet::from([member("a")])).is_ok());
}

/// Guards against permits that leave with a stopping member instead of becoming available
/// to the others.
#[test]
fn a_leaving_member_returns_all_idle_permits() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    cluster.members[0].try_start(&team()).unwrap();
    cluster.members[0].start_leaving();
    cluster.commit(0);
    assert_eq!(cluster.held(0), 1);
    assert_eq!(cluster.ledger.free(&team()), Permits(5));
}

/// Guards against work that waits although a peer has told of idle permits.
#[test]
fn waiting_work_gets_permits_from_a_peer() {
    let mut cluster: Cluster<NoFaults> = Cluster::new(6);
    let hints = cluster.members[0].permit_hints();
    cluster.members[1].record_hints(&member("a"), &hints);
    cluster.members[1].set_wanted(&team(), Permits(3));
    let requests = cluster.members[1].permit_requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].wanted[&team()], Permits(3));
    let reply = cluster.members[0].answer_request(&requests[0]).unwrap();
    cluster.members[1].receive_reply(&reply);
    assert_eq!(cluster.held(1), 3);
}
