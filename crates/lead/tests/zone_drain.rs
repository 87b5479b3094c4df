//! Drains of availability zones: from the operators' request in the store to the workers,
//! over takeovers and faults of the store.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use support::{Cluster, DRAIN_PREFIX, Node, eventually, id, is_done, job, soon};
use vg_base::prelude::*;
use vg_events::Code;
use vg_lead::SubmitOutcome;
use vg_store::{CallKind, Fault};

/// Time from the acknowledgement of a request after which nothing may start in the zone.
const DRAIN_LIMIT: Duration = Duration::from_millis(5000);

/// Returns a cluster with one worker in each of the zones `z1` and `z2`, and a host that
/// leads.
async fn cluster() -> (Cluster, Node) {
    let cluster = Cluster::new().await;
    cluster.put("workers/w1", b"z1").await;
    cluster.put("workers/w2", b"z2").await;
    let node = cluster.node("n-a").await;
    eventually(async || node.host.is_leading()).await;
    (cluster, node)
}

/// Submits a job and waits for its end. Returns the workers on which its tasks started.
async fn run(cluster: &Cluster, node: &Node, number: u128) -> Vec<HostId> {
    let before = cluster.fleet.start_workers.lock().unwrap().len();
    assert_eq!(node.host.submit(id(number), job(8), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&node.host.job_status(id(number), soon()).await)).await;
    cluster.fleet.start_workers.lock().unwrap()[before..].to_vec()
}

async fn runs_only_on(cluster: &Cluster, node: &Node, number: u128, worker: &str) -> bool {
    run(cluster, node, number).await.iter().all(|each| each.as_str() == worker)
}

/// Returns the codes of events whose field has this value, repetitions in a row once.
fn codes(node: &Node, field: &str, value: &str) -> Vec<Code> {
    let events = node.recorder.window(0, usize::MAX).events;
    let mut codes: Vec<_> = events
        .iter()
        .filter(|each| each.field(field) == Some(value))
        .map(|each| each.code)
        .collect();
    codes.dedup();
    codes
}

fn gauges(node: &Node) -> String {
    String::from_utf8(node.host.metrics().encode_text()).unwrap()
}

/// Guards against a request that has no effect, one that outlasts its key, gauges that
/// stay, and a malformed key that affects others.
#[tokio::test]
async fn a_zone_is_drained_from_the_request_until_its_key_is_deleted() {
    let (cluster, node) = cluster().await;
    // The repetition changes nothing.
    for _ in 0..2 {
        cluster.set_drained("z1", true).await;
    }
    cluster.put(&format!("{DRAIN_PREFIX}No Zone"), b"{}").await;
    eventually(async || gauges(&node).contains("vg_zone_drain_seconds{zone=\"z1\"}")).await;
    assert!(runs_only_on(&cluster, &node, 1, "w2").await);
    cluster.set_drained("z2", true).await;
    eventually(async || gauges(&node).contains("vg_zone_drain_seconds{zone=\"z2\"}")).await;
    assert_eq!(node.host.submit(id(2), job(2), soon()).await, SubmitOutcome::Accepted);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(cluster.fleet.starts_of(id(2)), 0, "all zones are drained");
    cluster.set_drained("z2", false).await;
    cluster.set_drained("z1", false).await;
    eventually(async || is_done(&node.host.job_status(id(2), soon()).await)).await;
    eventually(async || !gauges(&node).contains("vg_zone_drain")).await;
    let drain = [Code::ZoneDrainRequested, Code::ZoneDrained, Code::ZoneDrainEnded];
    assert_eq!(codes(&node, "zone", "z1"), drain);
    let malformed = format!("{DRAIN_PREFIX}No Zone");
    assert_eq!(codes(&node, "key", &malformed), [Code::ValueUnreadable]);
}

/// Guards against a host that has just started and starts tasks in a zone whose drain was
/// acknowledged before all hosts were killed.
#[tokio::test]
async fn a_request_survives_the_leader_that_dies_before_it_acts() {
    let (cluster, first) = cluster().await;
    // It takes the job and no longer sees what operators write.
    first.faults.set_silent(true);
    first.faults.script(CallKind::Range, Fault::Unavailable, 10_000);
    cluster.set_drained("z1", true).await;
    first.tasks.stop().await;
    let second = cluster.node_without_drain_watch("n-b").await;
    assert!(runs_only_on(&cluster, &second, 1, "w2").await);
    // The request is withdrawn while a third host takes over.
    second.tasks.stop().await;
    let third = cluster.node("n-c");
    let (third, ()) = tokio::join!(third, cluster.set_drained("z1", false));
    let before = cluster.fleet.start_workers.lock().unwrap().len();
    let wide = vg_flow::JobSpec { accepted: SystemTime::now(), ..job(32) };
    assert_eq!(third.host.submit(id(2), wide, soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&third.host.job_status(id(2), soon()).await)).await;
    let starts = cluster.fleet.start_workers.lock().unwrap()[before..].to_vec();
    assert!(starts.iter().any(|worker| worker.as_str() == "w1"), "the zone takes no work");
}

/// Guards against starts in a zone after the limit because a watch delivers nothing while
/// the host still reaches the store.
#[tokio::test]
async fn a_request_is_seen_in_time_although_the_watch_is_stuck() {
    let (cluster, node) = cluster().await;
    node.faults.set_silent(true);
    cluster.set_drained("z1", true).await;
    let acknowledged = std::time::Instant::now();
    eventually(async || gauges(&node).contains("vg_zone_drain_seconds")).await;
    // A start command is valid for 1.5 s, on a slow clock somewhat longer.
    assert!(acknowledged.elapsed() + Duration::from_millis(1800) < DRAIN_LIMIT);
    node.faults.set_silent(false);
    assert!(runs_only_on(&cluster, &node, 1, "w2").await);
}

/// Guards against a watch that is cut, and then against a listing of a replica that lags
/// behind: it must not bring back an earlier set.
#[tokio::test]
async fn a_request_is_seen_after_a_cut_and_not_undone_by_a_lagging_replica() {
    let (cluster, node) = cluster().await;
    node.faults.set_down(true);
    cluster.set_drained("z1", true).await;
    node.faults.set_down(false);
    eventually(async || gauges(&node).contains("vg_zone_drain_seconds")).await;
    cluster.set_drained("z2", true).await;
    eventually(async || gauges(&node).contains("zone=\"z2\"")).await;
    node.faults.set_stale(true);
    cluster.set_drained("z2", false).await;
    eventually(async || !gauges(&node).contains("zone=\"z2\"")).await;
    // Listings show it as drained, as of an earlier revision.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(runs_only_on(&cluster, &node, 1, "w2").await);
}

/// Guards against a leader that is cut off from the store and goes on to start tasks in a
/// zone, although its peers know of the request.
#[tokio::test]
async fn a_host_without_the_store_learns_of_a_request_from_peers() {
    let (cluster, first) = cluster().await;
    let second = cluster.node("n-b").await;
    eventually(async || cluster.key("vg/live/host/n-b").await).await;
    // The watch shows it to the first host within this time.
    tokio::time::sleep(Duration::from_millis(500)).await;
    first.faults.set_down(true);
    cluster.set_drained("z1", true).await;
    let knows = |node: &Node| node.host.drained_zones().iter().any(|zone| zone.as_str() == "z1");
    eventually(async || knows(&second)).await;
    eventually(async || knows(&first)).await;
}
