//! Hosts that share a store: acceptance, takeover, outages and true answers.

mod support;

use support::{World, eventually, job, soon};
use vg_base::prelude::*;
use vg_flow::{IncarnationRecord, JobOutcome};
use vg_lead::{CancelOutcome, JobStatus, SubmitOutcome};
use vg_store::{CallKind, Fault};

fn id(number: u128) -> JobId {
    JobId::new(number)
}

fn is_done(answer: &JobStatus) -> bool {
    matches!(answer, JobStatus::Finished(_, JobOutcome::Done))
}

#[tokio::test]
async fn a_job_handed_to_one_host_runs_once_and_is_shown_at_another() {
    let world = World::new().await;
    let (a, b) = (world.node("a").await, world.node("b").await);
    eventually(async || world.has_leader().await).await;
    assert_eq!(a.host.submit(id(1), job(3), soon()).await, SubmitOutcome::Accepted);
    // The same id is the same job, wherever it comes again.
    assert_eq!(b.host.submit(id(1), job(3), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    assert_eq!(world.fleet.starts_of(id(1)), 6);
    assert_eq!(a.host.submit(id(1), job(3), soon()).await, SubmitOutcome::Accepted);
    assert_eq!(a.host.job_status(id(2), soon()).await, JobStatus::Absent);
    assert_eq!(world.fleet.starts_of(id(1)), 6);
}

#[tokio::test]
async fn what_was_acknowledged_goes_on_when_the_leader_is_gone() {
    let world = World::new().await;
    let a = world.node("a").await;
    eventually(async || world.has_leader().await).await;
    for number in 1..=8 {
        assert_eq!(a.host.submit(id(number), job(4), soon()).await, SubmitOutcome::Accepted);
    }
    // As a killed process: nothing is handed over.
    a.tasks.stop().await;
    let b = world.node("b").await;
    for number in 1..=8 {
        eventually(async || is_done(&b.host.job_status(id(number), soon()).await)).await;
        assert_eq!(world.fleet.starts_of(id(number)), 8, "job {number}");
    }
}

#[tokio::test]
async fn a_planned_stop_hands_the_leadership_over() {
    let world = World::new().await;
    let a = world.node("a").await;
    eventually(async || world.has_leader().await).await;
    let b = world.node("b").await;
    assert_eq!(a.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    a.host.begin_stop().await;
    assert!(!a.host.is_ready());
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    // The stopping host still answers what it was asked.
    assert!(is_done(&a.host.job_status(id(1), soon()).await));
    assert_eq!(world.fleet.starts_of(id(1)), 8);
}

#[tokio::test]
async fn a_planned_stop_records_all_that_each_worker_may_run() {
    let world = World::new().await;
    let a = world.node("a").await;
    eventually(async || world.has_leader().await).await;
    assert_eq!(a.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    eventually(async || world.fleet.starts_of(id(1)) == 4).await;
    a.host.begin_stop().await;
    assert!(!world.has_leader().await, "the next leader has to wait");
    let value = world.value("vg/lives").await.unwrap();
    let lives: Vec<IncarnationRecord> = vg_net::from_msgpack(&value).unwrap();
    assert_eq!(lives.len(), 2);
    assert!(lives.iter().all(|life| life.expires.is_some()), "{lives:?}");
    let tasks: Vec<_> = lives.iter().flat_map(|life| life.tasks.as_ref().unwrap()).collect();
    // The first step's tasks run or have just ended; the second may have begun.
    assert!(tasks.iter().all(|task| task.step.job == id(1)), "{tasks:?}");
    // This host gives nothing more, and the next one goes on.
    let starts = world.fleet.starts_of(id(1));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(world.fleet.starts_of(id(1)), starts);
    let b = world.node("b").await;
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    assert_eq!(world.fleet.starts_of(id(1)), 8);
}

#[tokio::test]
async fn ends_that_come_together_do_not_wait_for_each_other_at_a_slow_store() {
    let world = World::new().await;
    let a = world.node("a").await;
    eventually(async || world.has_leader().await).await;
    let b = world.node("b").await;
    // The other host writes the jobs, so that the leader writes what becomes of
    // them, and what it records of workers.
    a.faults.set_delay(Duration::from_millis(60));
    for number in 1..=30 {
        assert_eq!(b.host.submit(id(number), job(1), soon()).await, SubmitOutcome::Accepted);
    }
    for number in 1..=30 {
        eventually(async || is_done(&b.host.job_status(id(number), soon()).await)).await;
        assert_eq!(world.fleet.starts_of(id(number)), 2, "job {number}");
    }
    let most = a.faults.max_open_txns();
    assert!(most >= 4, "at most {most} transactions at once");
}

#[tokio::test]
async fn a_lost_answer_of_the_store_is_settled_before_the_caller_is_told() {
    let world = World::new().await;
    let a = world.node("a").await;
    eventually(async || world.has_leader().await).await;
    a.faults.script(CallKind::Txn, Fault::AnswerLost, 1);
    assert_eq!(a.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&a.host.job_status(id(1), soon()).await)).await;
    assert_eq!(world.fleet.starts_of(id(1)), 4);
}

#[tokio::test]
async fn a_job_refused_while_the_store_is_away_never_runs() {
    let world = World::new().await;
    let a = world.node("a").await;
    eventually(async || world.has_leader().await).await;
    a.faults.set_down(true);
    let refused = a.host.submit(id(1), job(2), soon()).await;
    assert!(matches!(refused, SubmitOutcome::Refused(_)), "{refused:?}");
    a.faults.set_down(false);
    eventually(async || a.host.is_ready()).await;
    assert_eq!(a.host.submit(id(2), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&a.host.job_status(id(2), soon()).await)).await;
    assert_eq!(world.fleet.starts_of(id(1)), 0);
    assert_eq!(a.host.job_status(id(1), soon()).await, JobStatus::Absent);
}

#[tokio::test]
async fn nothing_is_sent_to_a_store_that_has_long_been_silent() {
    let world = World::new().await;
    let a = world.node("a").await;
    eventually(async || world.has_leader().await).await;
    a.faults.set_down(true);
    eventually(async || !a.host.is_ready()).await;
    let sent = a.faults.counts().txn;
    let refused = a.host.submit(id(1), job(2), soon()).await;
    assert!(matches!(refused, SubmitOutcome::Refused(_)), "{refused:?}");
    // Its leader may have written its own records in between, a job's write is
    // tried every 50 ms.
    assert!(a.faults.counts().txn <= sent + 2);
    a.faults.set_down(false);
    eventually(async || a.host.submit(id(2), job(2), soon()).await == SubmitOutcome::Accepted)
        .await;
    eventually(async || is_done(&a.host.job_status(id(2), soon()).await)).await;
    assert_eq!(world.fleet.starts_of(id(1)), 0);
}

#[tokio::test]
async fn a_job_that_another_host_may_have_written_is_not_called_not_run() {
    let world = World::new().await;
    let (a, b) = (world.node("a").await, world.node("b").await);
    eventually(async || world.has_leader().await).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The write of the one host is lost on its way, and may still come.
    b.faults.script(CallKind::Txn, Fault::RequestLost, 1000);
    a.faults.set_down(true);
    assert_eq!(b.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Unknown);
    b.faults.set_down(true);
    eventually(async || !b.host.is_ready()).await;
    assert_eq!(a.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Unknown);
    let refused = a.host.submit(id(2), job(2), soon()).await;
    assert!(matches!(refused, SubmitOutcome::Refused(_)), "{refused:?}");
}

#[tokio::test]
async fn a_host_without_the_store_serves_through_its_peers() {
    let world = World::new().await;
    let (a, b) = (world.node("a").await, world.node("b").await);
    eventually(async || world.has_leader().await).await;
    // Both know each other before one is cut off.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let cut = if a.host.is_leading() { &b } else { &a };
    cut.faults.set_down(true);
    assert_eq!(cut.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&cut.host.job_status(id(1), soon()).await)).await;
    // A version that it can't read comes from a peer.
    world.configure(2).await;
    eventually(async || cut.host.content().is_some_and(|content| content.version == 2)).await;
}

#[tokio::test]
async fn a_leader_cut_from_the_store_is_replaced_and_does_no_harm() {
    let world = World::new().await;
    let (a, b) = (world.node("a").await, world.node("b").await);
    eventually(async || world.has_leader().await).await;
    let (old, new) = if a.host.is_leading() { (&a, &b) } else { (&b, &a) };
    for number in 1..=4 {
        assert_eq!(new.host.submit(id(number), job(4), soon()).await, SubmitOutcome::Accepted);
    }
    old.faults.set_down(true);
    for number in 5..=8 {
        eventually(async || {
            new.host.submit(id(number), job(4), soon()).await == SubmitOutcome::Accepted
        })
        .await;
    }
    for number in 1..=8 {
        eventually(async || is_done(&new.host.job_status(id(number), soon()).await)).await;
        assert_eq!(world.fleet.starts_of(id(number)), 8, "job {number}");
    }
}

#[tokio::test]
async fn a_cancelled_job_starts_nothing_more_and_stays_cancelled() {
    let world = World::new().await;
    let (a, b) = (world.node("a").await, world.node("b").await);
    eventually(async || world.has_leader().await).await;
    assert_eq!(a.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    assert_eq!(b.host.cancel(id(1), soon()).await, CancelOutcome::Cancelled);
    let cancelled = JobStatus::Finished(None, JobOutcome::Cancelled);
    eventually(async || a.host.job_status(id(1), soon()).await == cancelled).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let starts = world.fleet.starts_of(id(1));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(world.fleet.starts_of(id(1)), starts);
    assert_eq!(b.host.job_status(id(1), soon()).await, cancelled);
    assert_eq!(b.host.cancel(id(9), soon()).await, CancelOutcome::Absent);
}

#[tokio::test]
async fn a_cancellation_beside_the_end_of_another_job_loses_no_end() {
    // Records of several jobs share a transaction; a cancellation of one of
    // them refuses all.
    let world = World::new().await;
    let a = world.node("a").await;
    eventually(async || world.has_leader().await).await;
    for round in 0..6_u128 {
        let ids = [id(10 * round + 1), id(10 * round + 2), id(10 * round + 3)];
        for each in ids {
            assert_eq!(a.host.submit(each, job(1), soon()).await, SubmitOutcome::Accepted);
        }
        // The wish is written without the leader's knowledge.
        tokio::time::sleep(Duration::from_millis(230 + 15 * round as u64)).await;
        let wished = a.host.cancel(ids[0], soon()).await;
        for each in &ids[1..] {
            eventually(async || is_done(&a.host.job_status(*each, soon()).await)).await;
            let key = format!("vg/in/{:x}", each.value());
            assert!(!world.key(&key).await, "{key} is left though its end is shown");
            assert_eq!(world.fleet.starts_of(*each), 2);
        }
        if wished == CancelOutcome::Cancelled {
            let shown = a.host.job_status(ids[0], soon()).await;
            assert_eq!(shown, JobStatus::Finished(None, JobOutcome::Cancelled));
        }
    }
}

#[tokio::test]
async fn a_version_never_goes_back_and_a_bad_one_changes_nothing() {
    let world = World::new().await;
    let a = world.node("a").await;
    world.configure(5).await;
    let version = || a.host.content().map(|content| content.version);
    eventually(async || version() == Some(5)).await;
    world.configure(3).await;
    world.configure(6).await;
    eventually(async || version() == Some(6)).await;
    world.configure(4).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(version(), Some(6));
}
