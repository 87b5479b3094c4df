//! Tests of hosts that share a store: submission, store outages, cancellation and
//! answers to callers.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use support::{Cluster, PANICS, eventually, id, is_done, job, soon};
use vg_base::prelude::*;
use vg_flow::JobOutcome;
use vg_lead::{CancelOutcome, JobStatus, SubmitOutcome};
use vg_store::{CallKind, Fault};

/// A caller that retries a submission on another host, or after the job has
/// finished, must not make its tasks run again.
#[tokio::test]
async fn job_submitted_twice_runs_once_and_is_visible_on_all_hosts() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || cluster.has_leader().await).await;
    assert_eq!(a.host.submit(id(1), job(3), soon()).await, SubmitOutcome::Accepted);
    // The same id means the same job, also on another host.
    assert_eq!(b.host.submit(id(1), job(3), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 6);
    assert_eq!(a.host.submit(id(1), job(3), soon()).await, SubmitOutcome::Accepted);
    assert_eq!(a.host.job_status(id(2), soon()).await, JobStatus::Absent);
    assert_eq!(cluster.fleet.starts_of(id(1)), 6);
}

/// If the transactions for outcomes were written one after the other, a slow
/// store would delay the later ones by the sum of all delays.
#[tokio::test]
async fn outcomes_are_written_concurrently_to_a_slow_store() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    let b = cluster.node("b").await;
    // The other host writes the jobs, so that the leader's transactions are
    // those for outcomes and incarnations.
    a.faults.set_delay(Duration::from_millis(60));
    for number in 1..=30 {
        assert_eq!(b.host.submit(id(number), job(1), soon()).await, SubmitOutcome::Accepted);
    }
    for number in 1..=30 {
        eventually(async || is_done(&b.host.job_status(id(number), soon()).await)).await;
        assert_eq!(cluster.fleet.starts_of(id(number)), 2, "job {number}");
    }
    let max_open = a.faults.max_open_txns();
    assert!(max_open >= 4, "at most {max_open} concurrent transactions");
}

/// The store carries out the write of a job but its answer is lost. The caller
/// must be told the truth, and the repeated write must not make the job run
/// twice.
#[tokio::test]
async fn lost_store_answer_is_resolved_before_the_caller_is_answered() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    a.faults.script(CallKind::Txn, Fault::AnswerLost, 1);
    assert_eq!(a.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&a.host.job_status(id(1), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 4);
}

/// A refusal tells the caller that the job will not run. A write that was still
/// in progress when the store failed would break this promise.
#[tokio::test]
async fn job_refused_during_a_store_outage_never_runs() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    a.faults.set_down(true);
    let refused = a.host.submit(id(1), job(2), soon()).await;
    assert!(matches!(refused, SubmitOutcome::Refused(_)), "{refused:?}");
    a.faults.set_down(false);
    eventually(async || a.host.is_ready()).await;
    assert_eq!(a.host.submit(id(2), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&a.host.job_status(id(2), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 0);
    assert_eq!(a.host.job_status(id(1), soon()).await, JobStatus::Absent);
}

/// A write that is sent to a store in an outage may take effect later, and its
/// caller would get no definite answer. Once the store has been silent for long
/// enough, no job is written at all.
#[tokio::test]
async fn no_job_writes_are_sent_to_an_unresponsive_store() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    a.faults.set_down(true);
    eventually(async || !a.host.is_ready()).await;
    let sent = a.faults.counts().txn;
    let refused = a.host.submit(id(1), job(2), soon()).await;
    assert!(matches!(refused, SubmitOutcome::Refused(_)), "{refused:?}");
    // The leader may have written its own records in between. A write of the
    // job would be retried every 50 ms.
    assert!(a.faults.counts().txn <= sent + 2);
    a.faults.set_down(false);
    eventually(async || a.host.submit(id(2), job(2), soon()).await == SubmitOutcome::Accepted)
        .await;
    eventually(async || is_done(&a.host.job_status(id(2), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 0);
}

/// One host sends the write of a job and does not learn its outcome; then the
/// caller submits the same job to another host. That host has not written the
/// job, but must not claim that the job will not run.
#[tokio::test]
async fn job_that_a_peer_may_have_written_is_not_refused() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || cluster.has_leader().await).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Writes of host b are lost on their way and may still arrive.
    b.faults.script(CallKind::Txn, Fault::RequestLost, 1000);
    a.faults.set_down(true);
    assert_eq!(b.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Unknown);
    b.faults.set_down(true);
    eventually(async || !b.host.is_ready()).await;
    assert_eq!(a.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Unknown);
    let refused = a.host.submit(id(2), job(2), soon()).await;
    assert!(matches!(refused, SubmitOutcome::Refused(_)), "{refused:?}");
}

/// Guards against a job that runs although its caller was told that it never will: the host
/// that had sent its write before was killed, so that it can't be asked, and the store
/// carries the write out late.
#[tokio::test]
async fn job_that_a_killed_peer_may_have_written_is_not_refused() {
    let late = Duration::from_millis(2500);
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    assert_eq!(b.host.submit(id(2), job(1), soon()).await, SubmitOutcome::Accepted);
    b.faults.script(CallKind::Txn, Fault::DelayedEffect(late), 1000);
    let submission = b.host.submit(id(1), job(1), soon());
    let left = tokio::time::timeout(Duration::from_millis(20), submission).await;
    assert!(left.is_err());
    b.tasks.stop().await;
    a.faults.set_down(true);
    let answer = a.host.submit(id(1), job(1), soon()).await;
    a.faults.set_down(false);
    eventually(async || is_done(&a.host.job_status(id(1), soon()).await)).await;
    assert_eq!(answer, SubmitOutcome::Unknown, "the job has run");
}

/// Guards against a job that runs although its caller was told that it never will: two calls
/// hand the job in at one host, and the refused write of one made the host forget that the
/// write of the other may still take effect.
#[tokio::test]
async fn job_that_another_call_may_have_written_is_not_refused() {
    let late = Duration::from_millis(2500);
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    assert_eq!(b.host.submit(id(2), job(1), soon()).await, SubmitOutcome::Accepted);
    a.faults.script(CallKind::Txn, Fault::Throttled, 1000);
    b.faults.script(CallKind::Txn, Fault::Throttled, 1);
    b.faults.script(CallKind::Txn, Fault::DelayedEffect(late), 1);
    b.faults.script(CallKind::Txn, Fault::Throttled, 1000);
    let first = b.host.submit(id(1), job(1), soon());
    let second = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        // The caller leaves before the write is sent again.
        let submission = b.host.submit(id(1), job(1), soon());
        tokio::time::timeout(Duration::from_millis(10), submission).await.is_err()
    };
    let (answer, left) = futures_util::join!(first, second);
    assert!(left);
    for node in [&a, &b] {
        node.faults.clear();
    }
    eventually(async || is_done(&a.host.job_status(id(1), soon()).await)).await;
    assert!(!matches!(answer, SubmitOutcome::Refused(_)), "the job has run: {answer:?}");
}

/// Guards against a caller that is told that its accepted job never runs: the job is sent
/// again, to the host that has accepted it or to another one, when none reaches the store.
#[tokio::test]
async fn accepted_job_that_is_sent_again_in_an_outage_is_not_refused() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || cluster.has_leader().await).await;
    for (number, accepting) in [(1, &a), (2, &b)] {
        let answer = accepting.host.submit(id(number), job(1), soon()).await;
        assert_eq!(answer, SubmitOutcome::Accepted);
        eventually(async || is_done(&accepting.host.job_status(id(number), soon()).await)).await;
    }
    for node in [&a, &b] {
        node.faults.set_down(true);
    }
    for (number, node) in [(1, &a), (1, &b), (2, &a), (2, &b)] {
        let answer = node.host.submit(id(number), job(1), soon()).await;
        assert!(!matches!(answer, SubmitOutcome::Refused(_)), "job {number}: {answer:?}");
    }
    let answer = a.host.submit(id(3), job(1), soon()).await;
    assert!(matches!(answer, SubmitOutcome::Refused(_)), "nobody has sent it: {answer:?}");
}

/// A host that is cut off from the store while its peers are not must still
/// accept jobs, answer queries and receive new configurations.
#[tokio::test]
async fn host_cut_off_from_the_store_serves_through_peers() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || cluster.has_leader().await).await;
    // Both hosts know each other before one of them is cut off.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let cut = if a.host.is_leading() { &b } else { &a };
    cut.faults.set_down(true);
    assert_eq!(cut.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&cut.host.job_status(id(1), soon()).await)).await;
    // A version of the configuration that the host cannot read itself arrives
    // from a peer.
    cluster.configure(2).await;
    eventually(async || cut.host.config().is_some_and(|config| config.version == 2)).await;
}

/// A cancellation on one host must stop the job on the leader, and every host
/// must report the job as cancelled.
#[tokio::test]
async fn cancelled_job_starts_no_more_tasks_and_stays_cancelled() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || cluster.has_leader().await).await;
    assert_eq!(a.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    assert_eq!(b.host.cancel(id(1), soon()).await, CancelOutcome::Cancelled);
    let cancelled = JobStatus::Finished(None, JobOutcome::Cancelled);
    eventually(async || a.host.job_status(id(1), soon()).await == cancelled).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let starts = cluster.fleet.starts_of(id(1));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), starts);
    assert_eq!(b.host.job_status(id(1), soon()).await, cancelled);
    assert_eq!(b.host.cancel(id(9), soon()).await, CancelOutcome::Absent);
}

/// Records of several jobs share a transaction, and the cancellation of one of
/// them makes the store refuse all. The outcomes of the other jobs must still
/// be written.
#[tokio::test]
async fn cancellation_loses_no_outcome_in_the_same_transaction() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    for round in 0..6_u128 {
        let ids = [id(10 * round + 1), id(10 * round + 2), id(10 * round + 3)];
        for each in ids {
            assert_eq!(a.host.submit(each, job(1), soon()).await, SubmitOutcome::Accepted);
        }
        // The cancellation is written at a time when the leader may be writing
        // outcomes of the other jobs.
        tokio::time::sleep(Duration::from_millis(230 + 15 * round as u64)).await;
        let cancel_outcome = a.host.cancel(ids[0], soon()).await;
        for each in &ids[1..] {
            eventually(async || is_done(&a.host.job_status(*each, soon()).await)).await;
            let key = format!("vg/in/{:x}", each.value());
            assert!(!cluster.key(&key).await, "{key} is left although its outcome is visible");
            assert_eq!(cluster.fleet.starts_of(*each), 2);
        }
        if cancel_outcome == CancelOutcome::Cancelled {
            let status = a.host.job_status(ids[0], soon()).await;
            assert_eq!(status, JobStatus::Finished(None, JobOutcome::Cancelled));
        }
    }
}

/// Hosts learn of configurations from the store and from peers, in any order.
/// An older version must not replace a newer one.
#[tokio::test]
async fn configuration_version_never_decreases() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    cluster.configure(5).await;
    let version = || a.host.config().map(|config| config.version);
    eventually(async || version() == Some(5)).await;
    cluster.configure(3).await;
    cluster.configure(6).await;
    eventually(async || version() == Some(6)).await;
    cluster.configure(4).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(version(), Some(6));
}

/// A background task that panics must end the process: a host that goes on without its
/// election or its watches looks alive, and may hold the leadership.
#[tokio::test]
async fn a_background_task_that_panics_is_reported() {
    let cluster = Cluster::new().await;
    let mut a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    let waits = tokio::time::timeout(Duration::from_millis(200), a.tasks.failed()).await;
    assert!(waits.is_err(), "{waits:?}");
    cluster.put("op/x", PANICS).await;
    let failed = tokio::time::timeout(Duration::from_secs(10), a.tasks.failed()).await;
    assert!(failed.is_ok_and(|reason| reason.contains("panicked")));
}
