//! Answers to operators are true to what the planner does.

use std::time::{Duration, SystemTime};

use vg_base::{Epoch, HostId, Incarnation, Member};
use vg_conf::Pool;
use vg_fleet::{
    Commit, HostReport, Limits, ListedHost, Planner, PoolStatus, Records, Remedy, Stored,
    WaitReason, WallTime, WriteContext, claim,
};

const PERIOD: Duration = Duration::from_secs(10 * 24 * 3600);

struct Site {
    pool: Pool,
    planner: Planner,
    records: Records,
    revision: i64,
    listed: Vec<ListedHost>,
    reports: Vec<HostReport>,
    now: SystemTime,
}

impl Site {
    /// Four hosts in as many racks, all active.
    fn new(budget: u32) -> Site {
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
        let mut site = Site {
            records: Records::recover(&member, &[stored]).unwrap(),
            planner: Planner::new(Limits::default()),
            revision: 1,
            listed: (0..4).map(|at| listed(at, &pool)).collect(),
            reports: (0..4).map(report).collect(),
            now: SystemTime::UNIX_EPOCH + PERIOD,
            pool,
        };
        (0..3).for_each(|_| site.round());
        site.now += PERIOD.mul_f64(0.9);
        site
    }

    fn round(&mut self) {
        for report in &mut self.reports {
            report.verified_version =
                self.records.hosts().get(&report.host).map(|each| each.version);
        }
        let pools = std::slice::from_ref(&self.pool);
        let Site { planner, records, listed, reports, now, .. } = self;
        planner.plan(pools, listed, reports, records, *now);
        if let Some(batch) = records.batch().unwrap() {
            self.revision += 1;
            records.handle_commit(batch.id, Commit::Done { revision: self.revision });
        }
    }

    fn explain(&self) -> PoolStatus {
        let Site { planner, records, pool, listed, reports, now, .. } = self;
        planner.explain_pool(pool, listed, reports, records, *now)
    }
}

fn host(at: usize) -> HostId {
    format!("h{at}").parse().unwrap()
}

fn listed(at: usize, pool: &Pool) -> ListedHost {
    let (zone, rack) = ("z".parse().unwrap(), format!("r{at}").parse().unwrap());
    ListedHost { host: host(at), pool: Some(pool.id.clone()), zone, rack, leaving: false }
}

fn report(at: usize) -> HostReport {
    HostReport {
        host: host(at),
        up: true,
        boot: Incarnation(1),
        running: 1,
        remaining: Duration::from_secs(60),
        closed_version: None,
        verified_version: None,
        pool: None,
    }
}

#[test]
fn held_pool_names_the_hold() {
    let mut site = Site::new(2);
    site.pool.hold = true;
    site.round();
    let answer = site.explain();
    assert_eq!((answer.wait, answer.remedy), (Some(WaitReason::OnHold), Some(Remedy::LiftHold)));
    assert!(answer.overdue_at.is_some());
}

#[test]
fn budget_of_one_has_no_room_beside_a_rack() {
    let mut site = Site::new(1);
    site.round();
    let answer = site.explain();
    assert!(matches!(answer.wait, Some(WaitReason::NoMargin(_))), "{:?}", answer.wait);
    assert_eq!((answer.planned, answer.remedy), (0, Some(Remedy::RaiseBudget(1))));
}

#[test]
fn budget_of_two_drains_one_and_waits() {
    let mut site = Site::new(2);
    site.round();
    let answer = site.explain();
    assert!(matches!(answer.wait, Some(WaitReason::NoMargin(_))), "{:?}", answer.wait);
    assert_eq!((answer.planned, answer.failed, answer.overdue_at), (1, 0, None));
}

#[test]
fn failure_within_a_wave_takes_the_drain_back() {
    let mut site = Site::new(2);
    site.round();
    let draining = site.records.hosts().values().find(|each| each.state.is_planned());
    let draining = draining.unwrap().host.clone();
    let other = site.reports.iter_mut().find(|each| each.host != draining).unwrap();
    other.up = false;
    site.round();
    assert_eq!(site.explain().planned, 0);
}

#[test]
fn lost_answer_settles_by_the_head() {
    let mut site = Site::new(2);
    let pools = std::slice::from_ref(&site.pool);
    let records = &mut site.records;
    site.planner.plan(pools, &site.listed, &site.reports, records, site.now);
    let batch = records.batch().unwrap().unwrap();
    records.handle_commit(batch.id, Commit::Lost);
    let write = batch.writes[0].clone();
    let head = Stored { key: write.key, value: write.value, revision: 99 };
    assert_eq!(records.handle_head(&head).unwrap(), vg_fleet::CommitOutcome::Durable);
    let next = WriteContext { epoch: Epoch(1), version: batch.id.seq + 1, now: WallTime(0) };
    assert_eq!(records.write_context(WallTime(0)), next);
}
