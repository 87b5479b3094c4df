//! Tests of a store that does not answer for some seconds, and of what follows.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::sync::mpsc;

use support::{Cluster, Node, eventually, id, is_done, job, soon};
use vg_base::prelude::*;
use vg_events::Code;
use vg_lead::SubmitOutcome;
use vg_store::{CallKind, Fault};

/// Time limit of a scenario that may block its thread.
const SCENARIO_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a scenario in a thread of its own, so that one that blocks its thread fails in
/// place of hanging.
fn run_in_thread(scenario: impl AsyncFnOnce() + Send + 'static) {
    let (ended, wait) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(scenario());
        ended.send(()).unwrap();
    });
    wait.recv_timeout(SCENARIO_TIMEOUT).expect("the scenario has failed or blocks its thread");
}

/// Guards against a leader whose process stands still after an outage: the registration of a
/// worker lapsed meanwhile, and the new listing lacks it.
#[test]
fn a_worker_that_is_missing_from_a_new_listing_does_not_block_the_leader() {
    run_in_thread(async || {
        let cluster = Cluster::new().await;
        let node = cluster.node("a").await;
        assert_eq!(node.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
        eventually(async || is_done(&node.host.job_status(id(1), soon()).await)).await;
        node.faults.set_down(true);
        cluster.remove("workers/w2").await;
        node.faults.set_down(false);
        // The listing comes 150 ms after the watch has ended.
        tokio::time::sleep(Duration::from_millis(600)).await;
        eventually(async || {
            node.host.submit(id(2), job(4), soon()).await == SubmitOutcome::Accepted
        })
        .await;
        eventually(async || is_done(&node.host.job_status(id(2), soon()).await)).await;
        assert!(node.host.is_leading());
    });
}

/// Time that a call to a silent store keeps its caller waiting.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Makes the store of these hosts silent, or lets it answer again.
fn set_silent(nodes: &[&Node], silent: bool) {
    for node in nodes {
        node.faults.set_loss_delay(CALL_TIMEOUT);
        node.faults.set_all_silent(silent);
    }
}

/// Starts hosts and waits until one leads and all know it.
async fn start_hosts<const N: usize>(cluster: &Cluster, names: [&str; N]) -> [Node; N] {
    let nodes = futures_util::future::join_all(names.map(|name| cluster.node(name))).await;
    eventually(async || nodes.iter().any(|node| node.host.is_leading())).await;
    // From here on each host knows the leader.
    for (node, number) in nodes.iter().zip(1000..) {
        let answer = node.host.submit(id(number), job(1), soon()).await;
        assert_eq!(answer, SubmitOutcome::Accepted);
        eventually(async || is_done(&node.host.job_status(id(number), soon()).await)).await;
    }
    nodes.try_into().ok().unwrap()
}

fn leadership_count(nodes: &[&Node]) -> usize {
    nodes.iter().map(|node| node.event_count(Code::LeadershipTaken)).sum()
}

/// Load: jobs arrive while the store is silent. What is sent into the silence has an unknown
/// outcome; what arrives later is truly not run.
#[tokio::test]
async fn submissions_to_a_silent_store_are_refused_as_not_run() {
    let cluster = Cluster::new().await;
    let [a, b] = start_hosts(&cluster, ["a", "b"]).await;
    set_silent(&[&a, &b], true);
    // The renewals of the hosts' leases show the silence.
    eventually(async || a.has_recorded(Code::StoreSilent) && b.has_recorded(Code::StoreSilent))
        .await;
    let deadline = || Instant::now() + Duration::from_millis(500);
    for number in 1..=8 {
        let node = if number % 2 == 0 { &a } else { &b };
        let answer = node.host.submit(id(number), job(1), deadline()).await;
        assert!(matches!(answer, SubmitOutcome::Refused(_)), "{answer:?}");
    }
    set_silent(&[&a, &b], false);
    eventually(async || a.has_recorded(Code::StoreAnswers)).await;
    assert_eq!(a.host.submit(id(9), job(1), soon()).await, SubmitOutcome::Accepted);
    eventually(async || is_done(&a.host.job_status(id(9), soon()).await)).await;
    for number in 1..=8 {
        assert_eq!(cluster.fleet.starts_of(id(number)), 0, "job {number} was refused");
    }
}

/// Load: as before, with callers that have more time than the silence lasts. A refused one
/// would come back later than the one that waits is accepted.
#[tokio::test]
async fn submissions_wait_unsent_until_the_store_is_back() {
    let cluster = Cluster::new().await;
    let [a, b] = start_hosts(&cluster, ["a", "b"]).await;
    set_silent(&[&a, &b], true);
    eventually(async || a.has_recorded(Code::StoreSilent)).await;
    let submission = a.host.submit(id(1), job(1), soon());
    let return_later = async {
        tokio::time::sleep(Duration::from_millis(1200)).await;
        set_silent(&[&a, &b], false);
    };
    let (answer, ()) = futures_util::join!(submission, return_later);
    assert_eq!(answer, SubmitOutcome::Accepted);
}

/// Load: the store turns away most hosts, among them those that a submission is handed to
/// first, and serves one. The submission reaches that one while its caller waits.
#[tokio::test]
async fn submissions_reach_the_only_host_that_the_store_serves() {
    let cluster = Cluster::new().await;
    let names = ["a", "b", "c", "d", "e", "f"];
    let nodes: [Node; 6] = start_hosts(&cluster, names).await;
    let (last, others) = nodes.split_last().unwrap();
    others.iter().for_each(|node| node.faults.set_down(true));
    eventually(async || others.iter().all(|node| node.has_recorded(Code::StoreSilent))).await;
    for (number, node) in (1..).zip(others) {
        let answer = node.host.submit(id(number), job(1), soon()).await;
        assert_eq!(answer, SubmitOutcome::Accepted, "job {number}");
    }
    eventually(async || last.host.is_leading()).await;
}

/// Guards against a job that the store refuses and that is sent again until its caller's
/// deadline.
#[tokio::test]
async fn a_job_that_the_store_refuses_is_refused_at_once() {
    let cluster = Cluster::new().await;
    let [a, _b] = start_hosts(&cluster, ["a", "b"]).await;
    let mut large = job(1);
    large.payload = "x".repeat(1_200_000).into();
    let before = a.faults.counts().txn;
    let answer = a.host.submit(id(1), large, soon()).await;
    assert!(matches!(answer, SubmitOutcome::Refused(_)), "{answer:?}");
    assert!(a.faults.counts().txn - before < 5);
}

/// Load: the store is away for longer than leases last, for all hosts, and is back for the
/// leader a little later than for the others. The leader carries its work through, so it
/// must lead again: another host would not know what runs where.
#[tokio::test]
async fn the_leader_of_a_shared_outage_leads_again() {
    let cluster = Cluster::new().await;
    let [a, b, c] = start_hosts(&cluster, ["a", "b", "c"]).await;
    let nodes = [&a, &b, &c];
    let taken = leadership_count(&nodes);
    for round in 1..=3 {
        set_silent(&nodes, true);
        eventually(async || !cluster.has_leader().await).await;
        // Long enough that the leader has asked its peers.
        tokio::time::sleep(Duration::from_millis(700)).await;
        let (leader, others): (Vec<_>, Vec<_>) =
            nodes.iter().partition(|node| node.host.is_leading());
        set_silent(&others, false);
        tokio::time::sleep(Duration::from_millis(400)).await;
        set_silent(&leader, false);
        eventually(async || cluster.has_leader().await).await;
        let answer = c.host.submit(id(round), job(2), soon()).await;
        assert_eq!(answer, SubmitOutcome::Accepted);
        eventually(async || is_done(&c.host.job_status(id(round), soon()).await)).await;
        assert_eq!(leadership_count(&nodes), taken, "another host took over in round {round}");
    }
}

/// Guards against two leaders on both sides of a cut: a leader went on for as long as one peer
/// told it that the store is away, although another peer, which did not answer, may reach it.
#[tokio::test]
async fn a_peer_that_does_not_answer_may_reach_the_store() {
    let cluster = Cluster::new().await;
    let nodes: [Node; 3] = start_hosts(&cluster, ["a", "b", "c"]).await;
    let (leader, others): (Vec<_>, Vec<_>) =
        nodes.into_iter().partition(|node| node.host.is_leading());
    let [leader] = leader.try_into().ok().unwrap();
    let [other, cut_off]: [Node; 2] = others.try_into().ok().unwrap();
    set_silent(&[&leader, &other], true);
    cut_off.tasks.stop().await;
    eventually(async || !leader.host.is_leading()).await;
}

/// Guards against a leadership that is kept for a leader that died while the store was away.
#[tokio::test]
async fn a_leader_that_dies_in_an_outage_is_replaced() {
    let cluster = Cluster::new().await;
    let [a, b] = start_hosts(&cluster, ["a", "b"]).await;
    let (leader, other) = if a.host.is_leading() { (a, b) } else { (b, a) };
    assert_eq!(other.host.submit(id(1), job(4), soon()).await, SubmitOutcome::Accepted);
    set_silent(&[&leader, &other], true);
    eventually(async || !cluster.has_leader().await).await;
    leader.tasks.stop().await;
    drop(leader.host);
    set_silent(&[&other], false);
    eventually(async || other.host.is_leading()).await;
    eventually(async || is_done(&other.host.job_status(id(1), soon()).await)).await;
    assert_eq!(cluster.fleet.starts_of(id(1)), 8);
}

/// Load: a third of the answers is lost while jobs arrive. The outcome of such a write has
/// to be resolved long before the call's own time limit, which is close to the callers'.
#[tokio::test]
async fn a_lost_answer_is_resolved_before_the_call_times_out() {
    let cluster = Cluster::new().await;
    let [a, _b] = start_hosts(&cluster, ["a", "b"]).await;
    a.faults.set_loss_delay(CALL_TIMEOUT);
    for number in 1..=4 {
        a.faults.script(CallKind::Txn, Fault::AnswerLost, 1);
        let deadline = Instant::now() + Duration::from_millis(800);
        let answer = a.host.submit(id(number), job(1), deadline).await;
        assert_eq!(answer, SubmitOutcome::Accepted, "job {number}");
    }
}

/// Load: the registrations of workers lapse while the store is away, and come back up to two
/// seconds after it. Workers that answer the leader's polls go on working meanwhile.
#[tokio::test]
async fn workers_whose_registrations_lapsed_get_work() {
    let cluster = Cluster::new().await;
    let [node] = start_hosts(&cluster, ["a"]).await;
    set_silent(&[&node], true);
    eventually(async || node.has_recorded(Code::StoreSilent)).await;
    cluster.remove("workers/w1").await;
    cluster.remove("workers/w2").await;
    set_silent(&[&node], false);
    eventually(async || node.host.submit(id(1), job(4), soon()).await == SubmitOutcome::Accepted)
        .await;
    eventually(async || is_done(&node.host.job_status(id(1), soon()).await)).await;
    // What does not come back is gone.
    eventually(async || node.has_recorded(Code::EndpointRemoved)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(node.host.submit(id(2), job(1), soon()).await, SubmitOutcome::Accepted);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(cluster.fleet.starts_of(id(2)), 0);
    cluster.register_worker("w1").await;
    eventually(async || is_done(&node.host.job_status(id(2), soon()).await)).await;
}
