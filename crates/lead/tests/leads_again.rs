//! Tests of a host that leads again while a worker is cut off: nothing that may still run there
//! starts elsewhere.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use futures_util::future::join_all;
use support::{Cluster, Node, StartFate, eventually, id, job, soon};
use vg_base::prelude::*;
use vg_events::Code;
use vg_flow::IncarnationRecord;
use vg_lead::SubmitOutcome;

const LEADER_KEY: &str = "vg/live/leader";
/// A late start arrives before it is refused for its deadline.
const STARTS: [StartFate; 3] =
    [StartFate::Answered, StartFate::Unanswered, StartFate::Late(Duration::from_millis(900))];

/// How the host comes to lead again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    /// Its process is killed, and another one is started at once.
    Killed,
    /// The same, twice: the second process is killed as soon as it leads.
    KilledTwice,
    /// It is stopped as planned, and another process is started at once.
    Stopped,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    start: StartFate,
    back: Return,
    /// Whether the record of the worker lists its tasks before the leadership ends.
    sealed: bool,
}

/// Whether the record of a worker lists its tasks.
async fn is_sealed(cluster: &Cluster, id: &str) -> bool {
    let mut records: Vec<IncarnationRecord> = Vec::new();
    for entry in cluster.entries("vg/lives/").await {
        records.extend(vg_net::from_msgpack::<Vec<IncarnationRecord>>(&entry.value).unwrap());
    }
    let record = records.iter().find(|record| record.incarnation.id.as_str() == id);
    record.is_some_and(|record| record.remaining.is_some())
}

/// Ends a leadership of a host and begins its next one, in another process.
async fn lead_again(cluster: &Cluster, node: Node, back: Return) -> Node {
    if back == Return::Stopped {
        node.host.begin_stop().await;
    }
    node.tasks.stop().await;
    let next = cluster.node("a").await;
    eventually(async || next.has_recorded(Code::JobsRecovered)).await;
    next
}

/// Cuts the host off from the worker that has carried out the last start. Returns the worker.
fn cut_busy(cluster: &Cluster) -> &'static str {
    let busy = cluster.fleet.start_workers.lock().unwrap().last().unwrap().clone();
    cluster.fleet.set_cut("a", busy.as_str(), true);
    cut_worker(cluster)
}

/// Returns the worker from which the host is cut off.
fn cut_worker(cluster: &Cluster) -> &'static str {
    let is_cut = |worker: &&str| cluster.fleet.is_cut("a", worker);
    ["w1", "w2"].into_iter().find(is_cut).unwrap()
}

/// Plays a host that starts a task, gives the leadership up in an outage of the store and claims it
/// again. Where the start is answered, the worker is cut off when its lease lasts longest: as the
/// leadership ends. Returns what this has shown that must not be.
async fn give_up(start: StartFate) -> Vec<String> {
    let cluster = Cluster::new().await;
    let fleet = &cluster.fleet;
    let node = cluster.node("a").await;
    eventually(async || node.host.is_leading()).await;
    *fleet.task_duration.lock().unwrap() = Duration::from_secs(60);
    *fleet.next_start.lock().unwrap() = start;
    assert_eq!(node.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || node.has_recorded(Code::TaskStarted)).await;
    node.faults.set_all_silent(true);
    // The lease of the leader key pauses in this outage.
    cluster.put(LEADER_KEY, &cluster.value(LEADER_KEY).await.unwrap()).await;
    eventually(async || node.has_recorded(Code::LeadershipLost)).await;
    if start == StartFate::Answered {
        cut_busy(&cluster);
    }
    node.faults.set_all_silent(false);
    eventually(async || node.event_count(Code::JobsRecovered) == 2).await;
    // This job is newer than both terms, and waits for nothing.
    assert_eq!(node.host.submit(id(2), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || fleet.starts_of(id(2)) == 1).await;
    eventually(async || fleet.starts_of(id(1)) == 2).await;
    fleet.violations()
}

/// Plays a case. Returns what it has shown that must not be.
async fn play(case: Case) -> Vec<String> {
    let cluster = Cluster::new().await;
    let fleet = &cluster.fleet;
    let node = cluster.node("a").await;
    eventually(async || node.host.is_leading()).await;
    *fleet.task_duration.lock().unwrap() = Duration::from_secs(60);
    *fleet.next_start.lock().unwrap() = case.start;
    assert_eq!(node.host.submit(id(1), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || node.has_recorded(Code::TaskStarted)).await;
    let cut = match case.start {
        StartFate::Answered => cut_busy(&cluster),
        StartFate::Unanswered | StartFate::Late(_) => cut_worker(&cluster),
    };
    if case.sealed {
        eventually(async || is_sealed(&cluster, cut).await).await;
    }
    let mut node = lead_again(&cluster, node, case.back).await;
    if case.back == Return::KilledTwice {
        node = lead_again(&cluster, node, case.back).await;
    }
    // This job is newer than both terms, and waits for nothing.
    assert_eq!(node.host.submit(id(2), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || fleet.starts_of(id(2)) == 1).await;
    eventually(async || fleet.starts_of(id(1)) == 2).await;
    fleet.violations()
}

async fn broken(cases: impl Iterator<Item = Case>) -> Vec<(Case, Vec<String>)> {
    let plays = cases.map(async |case| (case, play(case).await));
    let played = join_all(plays).await;
    played.into_iter().filter(|(_, violations)| !violations.is_empty()).collect()
}

fn cases(back: Return) -> impl Iterator<Item = Case> {
    let case = move |start| [false, true].map(move |sealed| Case { start, back, sealed });
    STARTS.into_iter().flat_map(case)
}

/// Guards against a task that runs twice, both times started by one host: it gave the
/// leadership up in between, and its worker was cut off from it.
#[tokio::test]
async fn a_host_that_gave_up_and_leads_again_starts_nothing_that_may_run() {
    let plays = STARTS.map(async |start| (start, give_up(start).await));
    let mut broken = join_all(plays).await;
    broken.retain(|(_, violations)| !violations.is_empty());
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against the same where its process was killed.
#[tokio::test]
async fn a_host_that_was_killed_and_leads_again_starts_nothing_that_may_run() {
    let broken = broken(cases(Return::Killed)).await;
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against the same where its process was killed twice, so that the records of the
/// first leadership pass through the second.
#[tokio::test]
async fn a_host_that_was_killed_twice_and_leads_again_starts_nothing_that_may_run() {
    let broken = broken(cases(Return::KilledTwice)).await;
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against the same where it was stopped as planned: its last record tells what may run.
#[tokio::test]
async fn a_host_that_was_stopped_and_leads_again_starts_nothing_that_may_run() {
    let broken = broken(cases(Return::Stopped)).await;
    assert!(broken.is_empty(), "{broken:?}");
}
