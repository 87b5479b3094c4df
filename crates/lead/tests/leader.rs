//! Tests of hosts that share a store: submission, takeover, store outages,
//! cancellation and answers to callers.

mod support;

use support::{Cluster, eventually, job, soon};
use vg_base::prelude::*;
use vg_flow::{IncarnationRecord, JobOutcome};
use vg_lead::{CancelOutcome, HostCapacity, JobStatus, SubmitOutcome};
use vg_store::{CallKind, Fault};

fn id(number: u128) -> JobId {
    JobId::new(number)
}

fn is_done(answer: &JobStatus) -> bool {
    matches!(answer, JobStatus::Finished(_, JobOutcome::Done))
}

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

/// A leader that is killed hands nothing over. Its successor has to complete
/// every acknowledged job from the store alone, without starting a task twice.
#[tokio::test]
async fn acknowledged_jobs_complete_after_the_leader_is_killed() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    for number in 1..=8 {
        assert_eq!(a.host.submit(id(number), job(4), soon()).await, SubmitOutcome::Accepted);
    }
    // Like a killed process, the host hands nothing over.
    a.tasks.stop().await;
    let b = cluster.node("b").await;
    for number in 1..=8 {
        eventually(async || is_done(&b.host.job_status(id(number), soon()).await)).await;
        assert_eq!(cluster.fleet.starts_of(id(number)), 8, "job {number}");
    }
}

/// A planned stop must not lose a running job or start its tasks again on the
/// next leader, and the stopping host must still answer queries.
#[tokio::test]
async fn planned_stop_hands_over_the_leadership() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    let b = cluster.node("b").await;
    assert_eq!(a.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    a.host.begin_stop().await;
    assert!(!a.host.is_ready());
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    // The stopping host still answers queries.
    assert!(is_done(&a.host.job_status(id(1), soon()).await));
    assert_eq!(cluster.fleet.starts_of(id(1)), 8);
}

/// Without the final record of each worker's tasks, the next leader would have
/// to wait until the worker leases of its predecessor expire. The stopped
/// leader must not start tasks after that record.
#[tokio::test]
async fn planned_stop_records_the_tasks_of_each_worker() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    assert_eq!(a.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 4).await;
    a.host.begin_stop().await;
    assert!(!cluster.has_leader().await, "the leader key was not deleted by the handover");
    let mut records: Vec<IncarnationRecord> = Vec::new();
    for entry in cluster.entries("vg/lives/").await {
        records.extend(vg_net::from_msgpack::<Vec<IncarnationRecord>>(&entry.value).unwrap());
    }
    assert_eq!(records.len(), 2);
    assert!(records.iter().all(|record| record.expires.is_some()), "{records:?}");
    let tasks: Vec<_> = records.iter().flat_map(|record| record.tasks.as_ref().unwrap()).collect();
    // Tasks of the first step run or have just finished; the second step may
    // have started.
    assert!(tasks.iter().all(|task| task.step.job == id(1)), "{tasks:?}");
    // The stopped leader starts no further tasks; the next leader completes the
    // job.
    let starts = cluster.fleet.starts_of(id(1));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), starts);
    let b = cluster.node("b").await;
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 8);
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

/// A leader that is cut off from the store still reaches its workers. Its
/// successor must complete all jobs, and neither of the two may start a task
/// that the other has started.
#[tokio::test]
async fn leader_cut_off_from_the_store_is_replaced_without_duplicate_starts() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || cluster.has_leader().await).await;
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
        assert_eq!(cluster.fleet.starts_of(id(number)), 8, "job {number}");
    }
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

/// Guards against a site that does not come back, because a host that can not read the
/// records keeps the leadership.
#[tokio::test]
async fn a_leader_that_can_not_read_the_records_gives_way() {
    let cluster = Cluster::new().await;
    let a = cluster.node("n-a").await;
    eventually(async || cluster.has_leader().await).await;
    assert_eq!(a.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Accepted);
    let b = cluster.node("n-b").await;
    // From here on it has listed the members.
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    b.faults.script(CallKind::Range, Fault::Unavailable, 10_000);
    a.tasks.stop().await;
    eventually(async || b.host.is_leading()).await;
    let c = cluster.node("n-c").await;
    assert_eq!(c.host.submit(id(2), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&c.host.job_status(id(2), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(2)), 4);
}

const WEAK: HostCapacity = HostCapacity { millicores: 120, link_mbps: 10 };
const STRONG: HostCapacity = HostCapacity { millicores: 500, link_mbps: 200 };

/// Guards against a site that is decided for by a host without the processor and the
/// link for it, while a larger host is idle.
#[tokio::test]
async fn a_weak_host_hands_the_leadership_over_to_a_strong_one() {
    let cluster = Cluster::new().await;
    let weak = cluster.node_with("n-a", WEAK).await;
    // It serves as long as it is alone.
    eventually(async || weak.host.is_leading()).await;
    let strong = cluster.node_with("n-b", STRONG).await;
    eventually(async || strong.host.is_leading() && !weak.host.is_leading()).await;
    assert_eq!(weak.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&weak.host.job_status(id(1), soon()).await)).await;
    strong.tasks.stop().await;
    eventually(async || weak.host.is_leading()).await;
}

/// Guards against a leader whose link and processor are used up by records of workers:
/// each change of one of them wrote the records of all.
#[tokio::test]
async fn a_change_of_one_worker_leaves_the_records_of_others_as_they_are() {
    let cluster = Cluster::new().await;
    let _node = cluster.node("n-a").await;
    eventually(async || cluster.entries("vg/lives/").await.len() == 2).await;
    let before = cluster.entries("vg/lives/").await;
    cluster.register_worker("w3").await;
    eventually(async || cluster.entries("vg/lives/").await.len() == 3).await;
    let after = cluster.entries("vg/lives/").await;
    assert!(before.iter().all(|entry| after.contains(entry)), "{before:?} {after:?}");
}

/// Guards against work that is started twice after an upgrade: the record of an earlier
/// version counts until the new ones hold its content.
#[tokio::test]
async fn the_record_of_an_earlier_version_is_replaced_after_it_was_taken_over() {
    let cluster = Cluster::new().await;
    let node = cluster.node("n-a").await;
    eventually(async || node.host.is_leading()).await;
    eventually(async || cluster.key("vg/lives").await).await;
    let marker = cluster.value("vg/lives").await.unwrap();
    // An earlier version can not decode it, and waits for all workers.
    assert!(vg_net::from_msgpack::<Vec<IncarnationRecord>>(&marker).is_err());
    assert_eq!(cluster.entries("vg/lives/").await.len(), 2);
}

/// Returns whether the record of a worker says that it gets no more work.
async fn is_sealed(cluster: &Cluster, id: &str) -> bool {
    let mut records = Vec::new();
    for entry in cluster.entries("vg/lives/").await {
        records.extend(vg_net::from_msgpack::<Vec<IncarnationRecord>>(&entry.value).unwrap());
    }
    let record = records.iter().find(|record| record.incarnation.id.as_str() == id);
    record.is_some_and(|record| record.expires.is_some())
}

/// Guards against a task that is started twice after a takeover: the store's answer to the
/// record that a worker gets no more work is lost, and the worker is back before the record
/// is written again.
#[tokio::test]
async fn a_record_whose_answer_was_lost_is_written_again_before_its_worker_gets_work() {
    let cluster = Cluster::new().await;
    let node = cluster.node("n-a").await;
    eventually(async || cluster.entries("vg/lives/").await.len() == 2).await;
    node.faults.script(CallKind::Txn, Fault::AnswerLost, 6);
    cluster.fleet.set_reachable("w2", false);
    eventually(async || is_sealed(&cluster, "w2").await).await;
    cluster.fleet.set_reachable("w2", true);
    eventually(async || !is_sealed(&cluster, "w2").await).await;
}
