//! The status that is shown to operators, compared with the decisions of the
//! planner.

use std::time::{Duration, SystemTime};

use vg_base::{Epoch, HostId, Incarnation, Member};
use vg_conf::Pool;
use vg_fleet::{
    Commit, HostReport, Limits, ListedHost, Planner, PoolStatus, Records, Remedy, Stored,
    WaitReason, WallTime, WriteContext, claim,
};

const PERIOD: Duration = Duration::from_secs(10 * 24 * 3600);

struct TestFleet {
    pool: Pool,
    planner: Planner,
    records: Records,
    revision: i64,
    listed: Vec<ListedHost>,
    reports: Vec<HostReport>,
    now: SystemTime,
}

impl TestFleet {
    /// Creates a pool with four active hosts in four racks, in which maintenance is
    /// due.
    fn new(budget: u32) -> TestFleet {
        let member = Member { node: "e1".parse().unwrap(), incarnation: Incarnation(1) };
        let write = claim(&member, None).unwrap().writes.remove(0);
        let stored = Stored { key: write.key, value: write.value, revision: 1 };
        let pool = Pool {
            id: "bakery".parse().unwrap(),
            hosts: 4,
            zones: Vec::new(),
            budget,
            zone_spare: false,
            period: PERIOD,
            spare: false,
            hold: false,
        };
        let mut fleet = TestFleet {
            records: Records::recover(&member, &[stored]).unwrap(),
            planner: Planner::new(Limits::default()),
            revision: 1,
            listed: (0..4).map(|index| listed(index, &pool)).collect(),
            reports: (0..4).map(report).collect(),
            now: SystemTime::UNIX_EPOCH + PERIOD,
            pool,
        };
        (0..3).for_each(|_| fleet.plan_round());
        fleet.now += PERIOD.mul_f64(0.9);
        fleet
    }

    /// Runs the planner once and commits its batch. All hosts pass their probes.
    fn plan_round(&mut self) {
        for report in &mut self.reports {
            report.verified_version =
                self.records.hosts().get(&report.host).map(|each| each.version);
        }
        let pools = std::slice::from_ref(&self.pool);
        let TestFleet { planner, records, listed, reports, now, .. } = self;
        planner.plan(pools, listed, reports, records, *now);
        if let Some(batch) = records.batch().unwrap() {
            self.revision += 1;
            records.handle_commit(batch.id, Commit::Committed { revision: self.revision });
        }
    }

    fn explain(&self) -> PoolStatus {
        let TestFleet { planner, records, pool, listed, reports, now, .. } = self;
        planner.explain_pool(pool, listed, reports, records, *now)
    }
}

fn host(index: usize) -> HostId {
    format!("h{index}").parse().unwrap()
}

fn listed(index: usize, pool: &Pool) -> ListedHost {
    let (zone, rack) = ("z".parse().unwrap(), format!("r{index}").parse().unwrap());
    ListedHost { host: host(index), pool: Some(pool.id.clone()), zone, rack, leaving: false }
}

fn report(index: usize) -> HostReport {
    HostReport {
        host: host(index),
        up: true,
        boot: Incarnation(1),
        running: 1,
        remaining: Duration::from_secs(60),
        closed_version: None,
        verified_version: None,
        pool: None,
    }
}

/// Guards against a status that does not name the hold as the reason why hosts are
/// not maintained.
#[test]
fn status_of_a_pool_on_hold_names_the_hold() {
    let mut fleet = TestFleet::new(2);
    fleet.pool.hold = true;
    fleet.plan_round();
    let status = fleet.explain();
    assert_eq!((status.wait, status.remedy), (Some(WaitReason::OnHold), Some(Remedy::LiftHold)));
    assert!(status.overdue_at.is_some());
}

/// Guards against a drain that leaves no reserve for the loss of a rack. A budget
/// of one host is used up by that reserve, so nothing can be drained.
#[test]
fn budget_of_one_is_used_up_by_the_rack_reserve() {
    let mut fleet = TestFleet::new(1);
    fleet.plan_round();
    let status = fleet.explain();
    assert!(matches!(status.wait, Some(WaitReason::NoMargin(_))), "{:?}", status.wait);
    assert_eq!((status.planned, status.remedy), (0, Some(Remedy::RaiseBudget(1))));
}

/// Guards against a second drain when the budget allows one drain besides the
/// reserve for the loss of a rack.
#[test]
fn budget_of_two_allows_one_drain() {
    let mut fleet = TestFleet::new(2);
    fleet.plan_round();
    let status = fleet.explain();
    assert!(matches!(status.wait, Some(WaitReason::NoMargin(_))), "{:?}", status.wait);
    assert_eq!((status.planned, status.failed, status.overdue_at), (1, 0, None));
}

/// Guards against a drain that continues after another host has failed. The failure
/// uses up the margin that the drain needs.
#[test]
fn failure_during_a_wave_cancels_the_drain() {
    let mut fleet = TestFleet::new(2);
    fleet.plan_round();
    let draining = fleet.records.hosts().values().find(|each| each.state.is_planned());
    let draining = draining.unwrap().host.clone();
    let other = fleet.reports.iter_mut().find(|each| each.host != draining).unwrap();
    other.up = false;
    fleet.plan_round();
    assert_eq!(fleet.explain().planned, 0);
}

/// Guards against a batch that is planned again or sent again although it took
/// effect and only its answer was lost. The head that was read shows its id.
#[test]
fn lost_answer_is_resolved_by_the_head() {
    let mut fleet = TestFleet::new(2);
    let pools = std::slice::from_ref(&fleet.pool);
    let records = &mut fleet.records;
    fleet.planner.plan(pools, &fleet.listed, &fleet.reports, records, fleet.now);
    let batch = records.batch().unwrap().unwrap();
    records.handle_commit(batch.id, Commit::Lost);
    let write = batch.writes[0].clone();
    let head = Stored { key: write.key, value: write.value, revision: 99 };
    assert_eq!(records.handle_head(&head).unwrap(), vg_fleet::CommitOutcome::Durable);
    let next = WriteContext { epoch: Epoch(1), version: batch.id.seq + 1, now: WallTime(0) };
    assert_eq!(records.write_context(WallTime(0)), next);
}
