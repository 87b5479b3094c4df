//! Tests of the outcomes of jobs: what is shown as finished stands, whatever fails next.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use support::{Cluster, Node, eventually, id, is_done, job, soon};
use vg_base::prelude::*;
use vg_flow::{JobOutcome, JobSpec};
use vg_lead::{CancelOutcome, JobStatus, SubmitOutcome};
use vg_store::{CallKind, Fault};

/// Runs a job to its end and waits until the host shows it as done.
async fn run_job(node: &Node, number: u128) {
    assert_eq!(node.host.submit(id(number), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&node.host.job_status(id(number), soon()).await)).await;
}

/// Ends the process of a host.
async fn kill(node: Node) {
    node.tasks.stop().await;
}

/// Guards against a finished job that no host knows any more: the leases of the store ended
/// in an outage, and the hosts that had the outcome in memory restart.
#[tokio::test]
async fn an_outcome_outlasts_an_outage_that_ends_all_leases() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    run_job(&a, 1).await;
    a.faults.set_all_silent(true);
    a.store.expire_leases().await;
    kill(a).await;
    let b = cluster.node("b").await;
    eventually(async || b.host.is_leading()).await;
    let status = b.host.job_status(id(1), soon()).await;
    assert!(is_done(&status), "{status:?}");
}

/// Guards against outcomes that stay in the store for good, or go before their time.
#[tokio::test]
async fn outcomes_are_deleted_after_their_retention() {
    let retention = Duration::from_secs(2);
    let cluster = Cluster::with_retention(retention).await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    run_job(&a, 1).await;
    let finished = Instant::now();
    eventually(async || !cluster.key("vg/end/1").await).await;
    assert!(finished.elapsed() > retention - Duration::from_millis(300));
}

/// Guards against outcomes of an earlier leader that stay in the store for good. Earlier
/// versions recorded no time.
#[tokio::test]
async fn outcomes_of_earlier_leaders_are_deleted_after_their_retention() {
    let retention = Duration::from_secs(2);
    let cluster = Cluster::with_retention(retention).await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    futures_util::future::join_all((1..=40).map(|number| run_job(&a, number))).await;
    kill(a).await;
    put_untimed(&cluster, 0xffff, JobOutcome::Done).await;
    let b = cluster.node("b").await;
    eventually(async || b.host.is_leading()).await;
    let taken = Instant::now();
    assert!(is_done(&b.host.job_status(id(0xffff), soon()).await));
    let calls = b.faults.counts();
    eventually(async || cluster.entries("vg/end/").await.is_empty()).await;
    assert!(taken.elapsed() > retention, "a record without a time counts from when it is seen");
    assert_eq!(b.host.job_status(id(40), soon()).await, JobStatus::Absent);
    let sent = b.faults.counts().txn - calls.txn;
    assert!(sent < 20, "{sent} transactions for 41 outcomes");
}

/// Guards against a job that runs again when it is submitted again: a leader whose wall clock
/// is ahead took its outcome for one whose retention has passed.
#[tokio::test]
async fn a_wall_clock_that_is_ahead_does_not_shorten_the_retention() {
    let cluster = Cluster::with_retention(Duration::from_secs(4)).await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    run_job(&a, 1).await;
    kill(a).await;
    let b = cluster.node("b").await;
    b.clock.set_forward(Duration::from_secs(3600));
    eventually(async || b.host.is_leading()).await;
    // The outcomes have been listed, and what seemed due would have been deleted.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(cluster.key("vg/end/1").await, "deleted before its retention has passed");
    let starts = cluster.fleet.starts_of(id(1));
    assert_eq!(b.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), starts);
}

/// Writes an outcome as earlier versions did.
async fn put_untimed(cluster: &Cluster, number: u128, how: JobOutcome) {
    #[derive(serde::Serialize)]
    struct UntimedRecord {
        how: JobOutcome,
        team: Option<TeamId>,
    }
    let record = UntimedRecord { how, team: None };
    let key = format!("vg/end/{:x}", id(number).value());
    cluster.put(&key, &vg_net::to_msgpack(&record).unwrap()).await;
}

/// A job of one task.
fn short_job() -> JobSpec {
    let mut spec = job(1);
    spec.steps.truncate(1);
    spec
}

/// Guards against an outcome that counts as written because the job's record is missing.
#[tokio::test]
async fn an_outcome_is_written_although_the_record_of_its_job_is_missing() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    assert_eq!(a.host.submit(id(1), short_job(), soon()).await, SubmitOutcome::Accepted);
    cluster.remove("vg/in/1").await;
    eventually(async || is_done(&a.host.job_status(id(1), soon()).await)).await;
    assert!(cluster.key("vg/end/1").await, "shown as done before it is durable");
}

/// Guards against ends that are acknowledged to workers while nothing of them is durable,
/// because the job's record is missing: the next leader starts the tasks again, or never.
#[tokio::test]
async fn progress_is_durable_before_ends_are_acknowledged() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    assert_eq!(a.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Accepted);
    cluster.remove("vg/in/1").await;
    eventually(async || cluster.fleet.starts_of(id(1)) == 4).await;
    // The first step's ends are acknowledged.
    eventually(async || cluster.key("vg/run/1").await).await;
    kill(a).await;
    let b = cluster.node("b").await;
    eventually(async || b.host.is_leading()).await;
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 4);
}

/// Guards against two outcomes of a job: one in the store, and another that is shown.
#[tokio::test]
async fn a_stored_outcome_is_the_one_that_is_shown() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    assert_eq!(a.host.submit(id(1), short_job(), soon()).await, SubmitOutcome::Accepted);
    cluster.remove("vg/in/1").await;
    put_untimed(&cluster, 1, JobOutcome::Cancelled).await;
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let status = a.host.job_status(id(1), soon()).await;
    assert_eq!(status, JobStatus::Finished(None, JobOutcome::Cancelled));
}

/// Guards against a cancelled job that has no outcome, or another one: its cancelling became
/// durable while the leader was writing that it is done.
#[tokio::test]
async fn a_job_cancelled_while_its_outcome_is_being_written_ends_as_cancelled() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    assert_eq!(b.host.submit(id(1), short_job(), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    a.faults.script(CallKind::Txn, Fault::Unavailable, 1000);
    let sent = a.faults.counts().txn;
    eventually(async || a.faults.counts().txn > sent + 3).await;
    assert_eq!(b.host.cancel(id(1), soon()).await, CancelOutcome::Cancelled);
    a.faults.clear();
    eventually(async || cluster.key("vg/end/1").await).await;
    for node in [&a, &b] {
        let status = node.host.job_status(id(1), soon()).await;
        assert_eq!(status, JobStatus::Finished(None, JobOutcome::Cancelled));
    }
    assert!(!cluster.key("vg/in/1").await);
}

/// Guards against a cancelled job that stays in the store without an outcome: the host that
/// leads next had shown its cancelling before.
#[tokio::test]
async fn a_leader_ends_a_job_whose_cancellation_it_has_shown_before() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    assert_eq!(b.host.submit(id(1), short_job(), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    a.faults.script(CallKind::Txn, Fault::Unavailable, 10_000);
    assert_eq!(b.host.cancel(id(1), soon()).await, CancelOutcome::Cancelled);
    let cancelled = JobStatus::Finished(None, JobOutcome::Cancelled);
    eventually(async || b.host.job_status(id(1), soon()).await == cancelled).await;
    kill(a).await;
    eventually(async || b.host.is_leading()).await;
    eventually(async || cluster.key("vg/end/1").await).await;
    assert!(!cluster.key("vg/in/1").await && !cluster.key("vg/in/1/cancel").await);
    assert_eq!(b.host.job_status(id(1), soon()).await, cancelled);
    assert_eq!(cluster.fleet.starts_of(id(1)), 1);
}

/// Guards against a job that is said not to exist because nobody can be asked.
#[tokio::test]
async fn a_state_that_cannot_be_read_is_not_absent() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    let b = cluster.node("b").await;
    eventually(async || cluster.has_leader().await).await;
    for node in [&a, &b] {
        node.faults.set_down(true);
    }
    for node in [&a, &b] {
        assert_eq!(node.host.job_status(id(1), soon()).await, JobStatus::Unknown);
        assert_eq!(node.host.cancel(id(1), soon()).await, CancelOutcome::Unknown);
    }
}

/// Guards against progress that comes back after the job has ended: the store carries out
/// its write late, when the key is absent again.
#[tokio::test]
async fn progress_that_is_written_late_does_not_come_back_after_the_end() {
    let late = Duration::from_millis(2500);
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    run_job(&b, 2).await;
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_millis(400);
    assert_eq!(b.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    a.faults.script(CallKind::Txn, Fault::DelayedEffect(late), 1);
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    tokio::time::sleep(late).await;
    assert!(!cluster.key("vg/run/1").await);
}

/// Guards against an outcome that changes: the store carries out the write of an earlier
/// leader when the next one has ended the job otherwise.
#[tokio::test]
async fn an_outcome_that_an_earlier_leader_writes_late_has_no_effect() {
    let late = Duration::from_millis(4000);
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    assert_eq!(b.host.submit(id(1), short_job(), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    a.faults.script(CallKind::Txn, Fault::DelayedEffect(late), 1000);
    let sent = a.faults.counts().txn;
    eventually(async || a.faults.counts().txn > sent).await;
    let sent_at = Instant::now();
    assert_eq!(b.host.cancel(id(1), soon()).await, CancelOutcome::Cancelled);
    kill(a).await;
    let cancelled = JobStatus::Finished(None, JobOutcome::Cancelled);
    eventually(async || cluster.key("vg/end/1").await).await;
    assert!(sent_at.elapsed() < late, "the late write has to come after the outcome");
    let stored = cluster.value("vg/end/1").await;
    tokio::time::sleep(late).await;
    assert_eq!(cluster.value("vg/end/1").await, stored);
    assert_eq!(b.host.job_status(id(1), soon()).await, cancelled);
}

/// Guards against a job that runs although its cancelling was answered with "no such job":
/// the write of its submission was on its way at another host.
#[tokio::test]
async fn a_job_cancelled_before_its_write_takes_effect_never_runs() {
    let late = Duration::from_millis(1500);
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    run_job(&b, 2).await;
    b.faults.script(CallKind::Txn, Fault::DelayedEffect(late), 1);
    // The caller leaves before the write is sent again.
    let submission = b.host.submit(id(1), short_job(), soon());
    let left = tokio::time::timeout(Duration::from_millis(20), submission).await;
    assert!(left.is_err());
    assert_eq!(a.host.cancel(id(1), soon()).await, CancelOutcome::Absent);
    tokio::time::sleep(late * 2).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 0);
    for node in [&a, &b] {
        assert_eq!(node.host.job_status(id(1), soon()).await, JobStatus::Absent);
        assert_eq!(node.host.cancel(id(1), soon()).await, CancelOutcome::Absent);
        // Submitted again, it is truly refused.
        let answer = node.host.submit(id(1), short_job(), soon()).await;
        assert!(matches!(answer, SubmitOutcome::Refused(_)), "{answer:?}");
    }
    assert_eq!(cluster.fleet.starts_of(id(1)), 0);
}

/// Guards against cancellations of jobs that don't exist which stay in the store for good.
#[tokio::test]
async fn a_cancellation_without_a_job_is_deleted_after_the_retention() {
    let cluster = Cluster::with_retention(Duration::from_secs(2)).await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    run_job(&a, 1).await;
    // The outcomes have been listed once.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(a.host.cancel(id(9), soon()).await, CancelOutcome::Absent);
    assert!(cluster.key("vg/end/9").await);
    eventually(async || cluster.entries("vg/end/").await.is_empty()).await;
    assert_eq!(a.host.submit(id(9), short_job(), soon()).await, SubmitOutcome::Accepted);
}
