//! Tests of admission on entry hosts, one failure each. In most of them a stand-in leads
//! and answers with a load that makes each job hopeless.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::IgnoredAny;
use support::{Cluster, Node, eventually, id, job, soon};
use vg_base::prelude::*;
use vg_flow::{
    Backlog, FencingToken, JobSpec, LoadDigest, MachineTime, MilliMachines, PoolLoad, TeamLoad,
};
use vg_jobs::Resources;
use vg_lead::{JobStatus, PendingCount, SubmitOutcome};
use vg_net::{
    Body, Client, Limits, Server, ServerHandle, Service, ServiceError, empty_body, full_body,
    to_msgpack,
};

/// Time for the answer to a notification of the leader, which is sent after the caller
/// has its answer.
const NOTIFY_TIME: Duration = Duration::from_millis(200);

/// The leader's load as hosts exchange it.
#[derive(Debug, Clone, Serialize)]
struct LoadMessage {
    token: FencingToken,
    age: Duration,
    digest: Bytes,
}

#[derive(Debug, Clone, Default, Serialize)]
struct LoadAnswer {
    load: Option<LoadMessage>,
}

#[derive(Debug, Clone, Serialize)]
struct UnresolvedAnswer {
    unsettled: bool,
}

/// What the stand-in answers, and the calls that it got.
#[derive(Debug, Default)]
struct LeaderState {
    answer: LoadAnswer,
    /// Whether calls for the load fail.
    is_lost: bool,
    /// Whether it may have written the jobs that it is asked about.
    may_have_written: bool,
    load_calls: usize,
}

#[derive(Debug, Clone, Default)]
struct FakeLeader(Arc<Mutex<LeaderState>>);

impl Service for FakeLeader {
    async fn call(
        &self,
        request: Request<Incoming>,
        _: SocketAddr,
    ) -> Result<Response<Body>, ServiceError> {
        let mut state = self.0.lock().unwrap();
        let is_load = request.uri().path() == "/load";
        state.load_calls += usize::from(is_load);
        let body = match request.uri().path() {
            "/load" | "/handed" if !state.is_lost => to_msgpack(&state.answer),
            "/unsettled" => to_msgpack(&UnresolvedAnswer { unsettled: state.may_have_written }),
            _ => {
                let mut response = Response::new(empty_body());
                *response.status_mut() = StatusCode::CONFLICT;
                return Ok(response);
            }
        };
        Ok(Response::new(full_body(body.unwrap())))
    }
}

impl FakeLeader {
    fn answer_with(&self, load: Option<LoadMessage>) {
        self.0.lock().unwrap().answer = LoadAnswer { load };
    }

    fn set_lost(&self, lost: bool) {
        self.0.lock().unwrap().is_lost = lost;
    }

    fn load_calls(&self) -> usize {
        self.0.lock().unwrap().load_calls
    }
}

/// A load of pool `p` that makes each job of its queue hopeless.
fn hopeless(token: u64) -> LoadMessage {
    let work = [MachineTime::from_secs(1000.0); 3];
    let backlog = Backlog { on_time: work, ..Backlog::default() };
    let allocation = MilliMachines::from_machines(1.0);
    let pool = PoolLoad {
        pool: "p".parse().unwrap(),
        machine: Resources::new(16_000, 0, 0),
        capacity: allocation,
        empty_for: None,
        queues: Vec::new(),
        teams: vec![TeamLoad { team: None, allocation, backlogs: vec![backlog] }],
    };
    message(token, vec![pool])
}

fn message(token: u64, pools: Vec<PoolLoad>) -> LoadMessage {
    let digest = LoadDigest { token: FencingToken(token), pools, advice: Vec::new() };
    let digest = to_msgpack(&digest).unwrap();
    LoadMessage { token: FencingToken(token), age: Duration::ZERO, digest }
}

/// A cluster that a stand-in leads, and a host that has got `load` with its first job,
/// the job 1.
async fn led_host(load: Option<LoadMessage>) -> (Cluster, FakeLeader, ServerHandle, Node) {
    #[derive(Serialize)]
    struct LeaderValue {
        node: NodeId,
        control: SocketAddr,
        nonce: u64,
    }
    let leader = FakeLeader::default();
    leader.answer_with(load);
    let server = Server::bind(([127, 0, 0, 1], 0).into(), Limits::default()).await.unwrap();
    let server = server.serve(leader.clone());
    let cluster = Cluster::new().await;
    let value = LeaderValue { node: "x".parse().unwrap(), control: server.addr(), nonce: 1 };
    cluster.put("vg/live/leader", &to_msgpack(&value).unwrap()).await;
    let node = cluster.node("a").await;
    // The host knows the leader soon after it has the configuration.
    tokio::time::sleep(NOTIFY_TIME).await;
    assert_eq!(submit(&node, 1).await, SubmitOutcome::Accepted);
    tokio::time::sleep(NOTIFY_TIME).await;
    (cluster, leader, server, node)
}

async fn submit(node: &Node, number: u128) -> SubmitOutcome {
    node.host.submit(id(number), job(1), soon()).await
}

/// Returns how many jobs a host has rejected as hopeless.
fn rejections(node: &Node) -> u64 {
    let text = String::from_utf8(node.host.metrics().encode_text()).unwrap();
    let name = "vg_submissions_total{outcome=\"hopeless\"} ";
    text.lines().find_map(|line| line.strip_prefix(name)).map_or(0, |count| count.parse().unwrap())
}

/// Guards against jobs that are accepted although they can't be done in time, against
/// late answers, and against rejections that are untrue.
#[tokio::test]
async fn hopeless_job_is_rejected_at_once_and_is_not_run() {
    let (cluster, leader, _server, a) = led_host(Some(hopeless(5))).await;
    let started = Instant::now();
    let outcome = submit(&a, 2).await;
    let took = started.elapsed();
    let SubmitOutcome::Refused(after) = outcome else { panic!("{outcome:?}") };
    assert!(after >= Duration::from_secs(30), "retry after {after:?}");
    assert!(took < Duration::from_millis(300), "rejected after {took:?}");
    assert_eq!(rejections(&a), 1);
    assert!(!cluster.key("vg/in/2").await);
    assert_eq!(a.host.job_status(id(2), soon()).await, JobStatus::Absent);
    // Once no pool is contended, jobs are accepted and the leader is not called.
    leader.answer_with(None);
    eventually(async || submit(&a, 3).await == SubmitOutcome::Accepted).await;
    let calls = leader.load_calls();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(submit(&a, 4).await, SubmitOutcome::Accepted);
    assert_eq!(leader.load_calls(), calls);
}

/// Guards against calls for the load, or larger acknowledgements, where no pool is
/// contended.
#[tokio::test]
async fn without_contention_no_load_is_exchanged() {
    let (_cluster, leader, _server, a) = led_host(None).await;
    for number in 2..8 {
        assert_eq!(submit(&a, number).await, SubmitOutcome::Accepted);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(leader.load_calls(), 0);
    // The acknowledgement of a real leader.
    #[derive(Serialize)]
    struct DurableJob {
        job: JobId,
        revision: u64,
        spec: JobSpec,
    }
    let cluster = Cluster::new().await;
    let b = cluster.node("b").await;
    eventually(async || b.host.is_leading()).await;
    let leader = cluster.value("vg/live/leader").await.unwrap();
    #[derive(serde::Deserialize)]
    struct LeaderAddr {
        control: SocketAddr,
    }
    let LeaderAddr { control } = vg_net::from_msgpack(&leader).unwrap();
    let client = Client::new(Duration::from_secs(1), Duration::from_secs(1));
    let message = DurableJob { job: id(1), revision: 1, spec: job(1) };
    let url = format!("http://{control}/handed");
    let ack: BTreeMap<String, IgnoredAny> =
        client.post_msgpack(&url, &message, Duration::from_secs(2), 1 << 20).await.unwrap();
    assert_eq!(ack.keys().collect::<Vec<_>>(), ["refuse_for"]);
}

/// The leader's answers are lost: the host must not go on to reject by what it knew.
#[tokio::test]
async fn jobs_are_accepted_after_the_digest_was_lost() {
    let (_cluster, leader, _server, a) = led_host(Some(hopeless(5))).await;
    assert!(matches!(submit(&a, 2).await, SubmitOutcome::Refused(_)));
    leader.set_lost(true);
    a.clock.suspend(Duration::from_millis(1200));
    assert_eq!(submit(&a, 3).await, SubmitOutcome::Accepted);
}

/// A digest that was old when it was sent must not be used.
#[tokio::test]
async fn jobs_are_accepted_by_a_stale_digest() {
    let stale = LoadMessage { age: Duration::from_millis(1100), ..hopeless(5) };
    let (_cluster, leader, _server, a) = led_host(Some(stale)).await;
    assert_eq!(submit(&a, 2).await, SubmitOutcome::Accepted);
    assert!(leader.load_calls() > 0, "the host did not ask for a newer digest");
}

/// A former leader that still answers must not have its load used once a later leader
/// has sent one.
#[tokio::test]
async fn digest_of_a_former_leader_is_dropped() {
    // The later leader has seen contention in another pool only.
    let other = PoolLoad {
        pool: "other".parse().unwrap(),
        machine: Resources::ZERO,
        capacity: MilliMachines::from_machines(1.0),
        empty_for: None,
        queues: Vec::new(),
        teams: Vec::new(),
    };
    let (_cluster, leader, _server, a) = led_host(Some(message(9, vec![other]))).await;
    leader.answer_with(Some(hopeless(5)));
    for number in 2..5 {
        a.clock.suspend(Duration::from_millis(1200));
        assert_eq!(submit(&a, number).await, SubmitOutcome::Accepted);
        tokio::time::sleep(NOTIFY_TIME).await;
    }
    assert!(leader.load_calls() > 0);
    leader.answer_with(Some(hopeless(9)));
    a.clock.suspend(Duration::from_millis(1200));
    assert!(matches!(submit(&a, 5).await, SubmitOutcome::Refused(_)));
}

/// While the store is slow it can't be checked in time whether a job is new. It must take
/// the normal path instead of a rejection that comes late or may be untrue.
#[tokio::test]
async fn jobs_are_accepted_while_the_store_is_slow() {
    let (_cluster, _leader, _server, a) = led_host(Some(hopeless(5))).await;
    assert!(matches!(submit(&a, 2).await, SubmitOutcome::Refused(_)));
    a.faults.set_delay(Duration::from_millis(400));
    assert_eq!(submit(&a, 3).await, SubmitOutcome::Accepted);
    a.faults.set_delay(Duration::ZERO);
    eventually(async || matches!(submit(&a, 4).await, SubmitOutcome::Refused(_))).await;
    // The store does not answer at all: the job is not rejected as hopeless.
    let rejected = rejections(&a);
    a.faults.set_down(true);
    submit(&a, 5).await;
    assert_eq!(rejections(&a), rejected);
}

/// A job that the store or another host knows must not be called not run.
#[tokio::test]
async fn job_that_another_host_has_written_is_not_rejected() {
    let (cluster, leader, _server, a) = led_host(Some(hopeless(5))).await;
    // The other host has no digest when it accepts its first job.
    let b = cluster.node("b").await;
    assert_eq!(submit(&b, 7).await, SubmitOutcome::Accepted);
    assert_eq!(submit(&a, 7).await, SubmitOutcome::Accepted);
    assert!(matches!(submit(&a, 8).await, SubmitOutcome::Refused(_)));
    // A host may have written the job and does not know the outcome.
    leader.0.lock().unwrap().may_have_written = true;
    assert_eq!(submit(&a, 9).await, SubmitOutcome::Accepted);
}

/// The leader is killed in the middle of a peak. The next one must reject nothing before
/// it knows the load, and then reject again.
#[tokio::test]
async fn takeover_in_the_middle_of_a_peak() {
    let cluster = Cluster::new().await;
    let (a, b) = (cluster.node("a").await, cluster.node("b").await);
    eventually(async || a.host.is_leading() || b.host.is_leading()).await;
    let (leader, other) = if a.host.is_leading() { (a, b) } else { (b, a) };
    // Estimates are far higher than the true durations, so that the backlog stays
    // hopeless while the test runs. All jobs are alike, so that none is large.
    let mut spec = job(1000);
    spec.steps.iter_mut().for_each(|step| step.estimate = Duration::from_secs(10));
    let mut number = 0;
    let mut send = async |node: &Node| {
        number += 1;
        node.host.submit(id(number), spec.clone(), soon()).await
    };
    let is_refused = |outcome| matches!(outcome, SubmitOutcome::Refused(_));
    eventually(async || is_refused(send(&leader).await)).await;
    eventually(async || is_refused(send(&other).await)).await;
    assert_eq!(rejections(&leader), 1);
    leader.tasks.stop().await;
    eventually(async || other.host.is_leading()).await;
    assert_eq!(send(&other).await, SubmitOutcome::Accepted);
    let queue = "q".parse().unwrap();
    let is_recovered =
        async || other.host.pending_count(&queue, soon()).await != PendingCount::Unknown;
    eventually(is_recovered).await;
    let recovered = Instant::now();
    eventually(async || is_refused(send(&other).await)).await;
    let after = recovered.elapsed();
    assert!(after >= Duration::from_millis(400), "rejected {after:?} after the recovery");
    assert_eq!(rejections(&other), 2);
}
