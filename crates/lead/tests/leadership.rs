//! Tests of the leadership: takeover, handover, and the records for the next leader.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use support::{Cluster, eventually, id, is_done, job, soon};
use vg_base::prelude::*;
use vg_events::Code;
use vg_flow::IncarnationRecord;
use vg_lead::{HostCapacity, SubmitOutcome};
use vg_store::{CallKind, Fault};

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
    assert!(records.iter().all(|record| record.remaining.is_some()), "{records:?}");
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
    record.is_some_and(|record| record.remaining.is_some())
}

/// Guards against a lease that is not renewed for longer than necessary: while a worker's
/// record is sealed its polls renew nothing, and one that stays open delays the next.
#[tokio::test]
async fn a_poll_that_renews_no_lease_is_answered_at_once() {
    let cluster = Cluster::new().await;
    let node = cluster.node("n1").await;
    eventually(async || node.host.is_leading()).await;
    let renewals = |cluster: &Cluster| {
        let polls = cluster.fleet.polls.lock().unwrap();
        polls.iter().filter(|(id, renewed, _)| id.as_str() == "w1" && *renewed).count()
    };
    eventually(async || renewals(&cluster) > 1).await;
    cluster.fleet.set_reachable("w1", false);
    eventually(async || is_sealed(&cluster, "w1").await).await;
    let before = renewals(&cluster);
    cluster.fleet.set_reachable("w1", true);
    eventually(async || renewals(&cluster) > before).await;
    let polls = cluster.fleet.polls.lock().unwrap().clone();
    let held: Vec<_> =
        polls.iter().filter(|(_, renewed, wait)| !renewed && !wait.is_zero()).collect();
    assert!(held.is_empty(), "{held:?}");
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

/// Guards against a leader that was suspended and goes on with a lease that has run out
/// meanwhile.
#[tokio::test]
async fn a_leader_that_was_suspended_starts_nothing_when_it_wakes() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || cluster.has_leader().await).await;
    let (old, new) = if a.host.is_leading() { (&a, &b) } else { (&b, &a) };
    assert_eq!(new.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) > 0).await;
    // It can not renew its lease when it wakes, and its job has a step left.
    old.faults.set_down(true);
    old.clock.suspend(Duration::from_secs(5));
    eventually(async || !old.host.is_leading()).await;
    let before = cluster.fleet.starts.lock().unwrap().clone();
    assert!(before.len() < 8, "{before:?}");
    eventually(async || is_done(&new.host.job_status(id(1), soon()).await)).await;
    let starts = cluster.fleet.starts.lock().unwrap().clone();
    assert_eq!(starts.len(), 8);
    let last_run = before.iter().map(|(_, run)| *run).max();
    let later = &starts[before.len()..];
    assert!(later.iter().all(|(_, run)| Some(*run) > last_run), "{starts:?}");
}

/// Guards against tasks that run twice because a leader starts more when it wakes from a short
/// pause: its lease has run out, and a worker that has started again refuses no earlier token.
#[tokio::test]
async fn a_leader_whose_lease_has_run_out_starts_no_more_tasks() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || cluster.has_leader().await).await;
    let (old, new) = if a.host.is_leading() { (&a, &b) } else { (&b, &a) };
    assert_eq!(new.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) > 0).await;
    // The second step is due while the earlier leader still keeps what runs.
    old.faults.set_down(true);
    old.clock.suspend(Duration::from_secs(2));
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(cluster.fleet.starts_of(id(1)) <= 4, "the earlier leader started the next step");
    eventually(async || is_done(&new.host.job_status(id(1), soon()).await)).await;
}

/// Guards against one malformed value that stops a host, a takeover, or the work of
/// others.
#[tokio::test]
async fn malformed_values_in_the_store_stop_neither_a_host_nor_a_takeover() {
    let cluster = Cluster::new().await;
    let first = cluster.node("n1").await;
    eventually(async || first.host.is_leading()).await;
    let keys = ["vg/in/x", "vg/in/4d", "vg/run/x", "vg/run/4d", "vg/live/host/x", "op/content"];
    for key in keys {
        cluster.put(key, &[0xc1, 0xff, 0x00]).await;
    }
    assert_eq!(first.host.submit(id(1), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&first.host.job_status(id(1), soon()).await)).await;
    first.tasks.stop().await;
    cluster.configure(2).await;
    let second = cluster.node("n2").await;
    eventually(async || second.host.is_leading()).await;
    assert_eq!(second.host.submit(id(2), job(2), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&second.host.job_status(id(2), soon()).await)).await;
}

/// Guards against two hosts that start the same job: the first one's lease ended, another
/// host took the leadership, and the first one, which has not heard of it, took its next
/// lease for a proof that it still leads.
#[tokio::test]
async fn a_new_lease_is_no_proof_of_the_leadership() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || cluster.has_leader().await).await;
    let b = cluster.node("b").await;
    let key = "vg/live/leader";
    let first = cluster.value(key).await;
    // Host `a` hears nothing more from the store, and its lease ends. It gets the next one
    // when host `b` has taken the leadership, and before `b` has polled any worker.
    let deafen = || {
        a.faults.set_stale(true);
        a.faults.set_silent(true);
    };
    deafen();
    b.faults.set_delay(Duration::from_millis(350));
    a.faults.script(CallKind::Lease, Fault::LeaseExpired, 1);
    a.faults.script(CallKind::Lease, Fault::Unavailable, 100);
    eventually(async || cluster.value(key).await.is_some_and(|value| Some(value) != first)).await;
    a.faults.clear();
    deafen();
    eventually(async || cluster.key("vg/live/host/a").await).await;
    assert_eq!(a.host.submit(id(1), job(3), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&b.host.job_status(id(1), soon()).await)).await;
    let events = a.recorder.window(0, usize::MAX).events;
    let starts = events.iter().filter(|event| event.code == Code::TaskStarted);
    assert_eq!(starts.count(), 0, "the earlier leader sent start commands");
}

/// Guards against a task that runs twice: the only host gives the leadership up during an
/// outage of the store, finds its own leader key afterwards, and led again under the same
/// token. It then took a job of its first leadership for one of which nothing has started.
#[tokio::test]
async fn a_host_that_leads_again_has_another_token_and_repeats_no_start() {
    let cluster = Cluster::new().await;
    let node = cluster.node("a").await;
    eventually(async || node.host.is_leading()).await;
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_secs(60);
    assert_eq!(node.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    let busy = cluster.fleet.start_workers.lock().unwrap()[0].clone();
    node.faults.set_all_silent(true);
    // The lease of the leader key pauses in this outage.
    let key = "vg/live/leader";
    cluster.put(key, &cluster.value(key).await.unwrap()).await;
    eventually(async || node.has_recorded(Code::LeadershipLost)).await;
    cluster.fleet.set_reachable(busy.as_str(), false);
    node.faults.set_all_silent(false);
    eventually(async || node.event_count(Code::JobsRecovered) == 2).await;
    // This job is newer than both terms, and waits for nothing.
    assert_eq!(node.host.submit(id(2), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(2)) == 1).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 1, "the task may still run on {busy}");
    let events = node.recorder.window(0, usize::MAX).events;
    let terms = events.iter().filter(|event| event.code == Code::LeadershipTaken);
    let [first, second] = terms.collect::<Vec<_>>()[..] else { panic!("not two leaderships") };
    assert_ne!(first.fields, second.fields, "both leaderships have the same token");
}

/// Guards against a task that is started twice because the wall clock of a host was set: the
/// time at which the lease of a cut-off worker ends passes from one leader to the next.
#[tokio::test]
async fn a_wall_clock_that_is_set_ends_no_lease_of_a_worker() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_secs(60);
    assert_eq!(a.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    let worker = cluster.fleet.start_workers.lock().unwrap()[0].clone();
    cluster.fleet.set_reachable(worker.as_str(), false);
    eventually(async || is_sealed(&cluster, worker.as_str()).await).await;
    b.clock.set_forward(Duration::from_secs(5));
    a.host.begin_stop().await;
    eventually(async || cluster.fleet.starts_of(id(1)) == 2).await;
    assert!(cluster.fleet.has_lease_ended(&worker), "the task may still run there");
}

/// Guards against a task that runs twice because two hosts lead: the leader and a peer are cut
/// off from the store, from the host that takes over and from the workers that it reaches.
#[tokio::test]
async fn a_leader_on_the_smaller_side_of_a_partition_renews_no_lease() {
    let cluster = Cluster::new().await;
    let a = cluster.node("a").await;
    eventually(async || a.host.is_leading()).await;
    let b = cluster.node("b").await;
    *cluster.fleet.task_duration.lock().unwrap() = Duration::from_secs(60);
    assert_eq!(a.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || cluster.fleet.starts_of(id(1)) == 1).await;
    let busy = cluster.fleet.start_workers.lock().unwrap()[0].clone();
    let other = if busy.as_str() == "w1" { "w2" } else { "w1" };
    // They have not heard of host `c`.
    a.faults.set_all_silent(true);
    b.faults.set_all_silent(true);
    cluster.fleet.set_cut("c", busy.as_str(), true);
    cluster.fleet.set_cut("a", other, true);
    let c = cluster.node("c").await;
    eventually(async || c.host.is_leading()).await;
    eventually(async || cluster.fleet.starts_of(id(1)) == 2).await;
    assert!(cluster.fleet.has_lease_ended(&busy), "the task runs on {busy} as well");
}
