//! Tests of a leadership that becomes vacant before its leader can know: the store may end a
//! lease before its time.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use support::{Cluster, Node, eventually, id, is_done, job, soon};
use vg_base::prelude::*;
use vg_flow::JobSpec;
use vg_lead::SubmitOutcome;
use vg_store::{CallKind, Fault};

/// A job of one task.
fn single() -> JobSpec {
    let mut spec = job(1);
    spec.steps.truncate(1);
    spec
}

/// A host that leads by what it knows, and the one that has taken the leadership. The first
/// is cut off from worker `w2`, the second one from worker `w1`.
struct Deposed {
    cluster: Cluster,
    old: Node,
    new: Node,
}

/// Ends the lease of a leader before its time. It does not see that, and writes jobs.
async fn depose() -> Deposed {
    let cluster = Cluster::new().await;
    let old = cluster.node("a").await;
    eventually(async || old.host.is_leading()).await;
    let new = cluster.node("b").await;
    // From here on both workers have a record.
    assert_eq!(old.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&new.host.job_status(id(1), soon()).await)).await;
    cluster.fleet.set_cut("a", "w2", true);
    cluster.fleet.set_cut("b", "w1", true);
    old.faults.set_silent(true);
    old.faults.script(CallKind::Lease, Fault::Unavailable, 10_000);
    old.store.expire_leases().await;
    eventually(async || new.host.is_leading()).await;
    assert!(old.host.is_leading(), "the earlier leader has learned of its end");
    Deposed { cluster, old, new }
}

/// Guards against two runs of a task: a leader whose lease the store has ended accepts a job
/// and starts it, and its successor takes the job for one that nobody can have started.
#[tokio::test]
async fn a_job_that_is_newer_than_the_term_may_run_by_the_earlier_leader() {
    let Deposed { cluster, old, new } = depose().await;
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_secs(3);
    assert_eq!(old.host.submit(id(2), single(), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(2)) > 0).await;
    assert_eq!(cluster.fleet.running_on("w1").len(), 1, "the earlier leader did not start it");
    tokio::time::sleep(Duration::from_millis(1200)).await;
    cluster.fleet.set_cut("b", "w1", false);
    eventually(async || is_done(&new.host.job_status(id(2), soon()).await)).await;
    assert_eq!(cluster.fleet.violations(), Vec::<String>::new());
}

/// Guards against two runs of a task: the same, where the next leader reads the job late, as its
/// watch is stuck.
#[tokio::test]
async fn a_job_that_is_read_long_after_it_was_accepted_may_run_by_the_earlier_leader() {
    let Deposed { cluster, old, new } = depose().await;
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_secs(60);
    new.faults.set_silent(true);
    assert_eq!(old.host.submit(id(2), single(), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(2)) > 0).await;
    assert_eq!(cluster.fleet.running_on("w1").len(), 1, "the earlier leader did not start it");
    // As long as a stuck watch takes to fail.
    tokio::time::sleep(Duration::from_millis(3200)).await;
    new.faults.set_silent(false);
    eventually(async || cluster.fleet.starts_of(id(2)) == 2).await;
    assert_eq!(cluster.fleet.violations(), Vec::<String>::new());
}

/// Guards against a task that is started again after its end was acknowledged: the next
/// leader reads the end of a job that it has not read yet, and takes it for an ended job.
#[tokio::test]
async fn the_end_of_a_task_whose_job_is_not_read_yet_is_kept() {
    let Deposed { cluster, old, new } = depose().await;
    eventually(async || new.host.job_status(id(9), soon()).await == vg_lead::JobStatus::Absent)
        .await;
    new.faults.set_silent(true);
    assert_eq!(old.host.submit(id(2), single(), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(2)) > 0).await;
    assert_eq!(cluster.fleet.running_on("w1").len(), 1, "the earlier leader did not start it");
    old.tasks.stop().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.fleet.set_cut("b", "w1", false);
    tokio::time::sleep(Duration::from_millis(500)).await;
    new.faults.set_silent(false);
    eventually(async || is_done(&new.host.job_status(id(2), soon()).await)).await;
    assert_eq!(cluster.fleet.violations(), Vec::<String>::new());
}

/// Starts a task that lasts on worker `w1`, which the next leader does not reach.
async fn occupy(cluster: &Cluster, old: &Node) {
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_secs(60);
    cluster.fleet.set_cut("a", "w2", true);
    cluster.fleet.set_cut("b", "w1", true);
    // From here on the leader gives no work to the other worker.
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(old.host.submit(id(2), single(), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.running_on("w1").len() == 1).await;
}

/// Starts two hosts, of which the first one leads.
async fn two_hosts() -> (Cluster, Node, Node) {
    let cluster = Cluster::new().await;
    let old = cluster.node("a").await;
    eventually(async || old.host.is_leading()).await;
    let new = cluster.node("b").await;
    assert_eq!(old.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&new.host.job_status(id(1), soon()).await)).await;
    (cluster, old, new)
}

/// Guards against two runs of a task: the earlier leader goes on for as long as its lease
/// would have lasted, and renews the leases of workers that its successor does not reach.
#[tokio::test]
async fn a_leader_renews_no_lease_for_longer_than_its_successor_reckons() {
    let (cluster, old, new) = two_hosts().await;
    occupy(&cluster, &old).await;
    old.faults.set_silent(true);
    old.faults.script(CallKind::Lease, Fault::Unavailable, 10_000);
    old.store.expire_leases().await;
    eventually(async || new.host.is_leading()).await;
    eventually(async || cluster.fleet.starts_of(id(2)) == 2).await;
    assert_eq!(cluster.fleet.violations(), Vec::<String>::new());
}

/// Guards against two runs of a task: a leader whose lease has ended gets other leases while
/// the store refuses its writes, and goes on although it can't know that it still leads.
#[tokio::test]
async fn leases_without_a_proof_of_the_leadership_do_not_prolong_it() {
    let (cluster, old, new) = two_hosts().await;
    occupy(&cluster, &old).await;
    old.faults.set_silent(true);
    old.faults.script(CallKind::Txn, Fault::Unavailable, 100_000);
    old.faults.script(CallKind::Lease, Fault::LeaseExpired, 1);
    eventually(async || new.host.is_leading()).await;
    eventually(async || cluster.fleet.starts_of(id(2)) == 2).await;
    assert_eq!(cluster.fleet.violations(), Vec::<String>::new());
    assert!(!old.host.is_leading(), "the earlier leader goes on");
}

/// Guards against a host that asks for one lease after the other, without a pause, while the
/// store refuses its writes.
#[tokio::test]
async fn a_host_whose_record_is_refused_asks_for_few_leases() {
    let cluster = Cluster::new().await;
    let node = cluster.node("a").await;
    eventually(async || node.host.is_leading()).await;
    let before = node.faults.counts().lease;
    node.faults.script(CallKind::Txn, Fault::Unavailable, 2000);
    node.faults.script(CallKind::Lease, Fault::LeaseExpired, 1);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = node.faults.counts().lease - before;
    assert!(calls < 30, "{calls} calls for leases in two seconds");
}

/// Guards against a job that waits for a lost worker although it was accepted long after the
/// takeover: the leader has written nothing since, which would have told it the revision.
#[tokio::test]
async fn a_job_that_is_accepted_after_a_quiet_takeover_waits_for_no_worker() {
    let cluster = Cluster::new().await;
    let old = cluster.node("a").await;
    eventually(async || old.host.is_leading()).await;
    let new = cluster.node("b").await;
    assert_eq!(old.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&new.host.job_status(id(1), soon()).await)).await;
    cluster.fleet.set_cut("b", "w1", true);
    old.tasks.stop().await;
    old.store.expire_leases().await;
    eventually(async || new.host.is_leading()).await;
    // The earlier leader has started nothing for 0.9 s when the job is accepted.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = Instant::now();
    assert_eq!(new.host.submit(id(2), single(), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(2)) > 0).await;
    let took = before.elapsed();
    assert!(took < Duration::from_millis(500), "{took:?}");
}
