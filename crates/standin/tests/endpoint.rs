//! Tests of the endpoint's slots, runs and faults over real sockets.

use std::time::{Duration, SystemTime};

use http::Request;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use vg_base::Slots;
use vg_net::{Body, Client, Error, Reply, full_body};
use vg_standin::{Endpoint, EndpointMode, EndpointSettings, RunLog, headers};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

async fn start(slots: u32) -> Endpoint {
    let settings = EndpointSettings::new("e1".parse().unwrap());
    let settings = EndpointSettings { slots: Slots(slots), ..settings };
    Endpoint::start(settings, RunLog::new()).await.unwrap()
}

fn request(endpoint: &Endpoint, id: &str, run_ms: u64) -> Request<Body> {
    Request::post(format!("http://{}/queues/bread", endpoint.addr()))
        .header(headers::REQUEST_ID, id)
        .header(headers::TEAM, "bakery")
        .header(headers::RUN_MS, run_ms)
        .body(full_body("flour"))
        .unwrap()
}

async fn call(endpoint: &Endpoint, id: &str, run_ms: u64) -> Result<Reply, Error> {
    let request = request(endpoint, id, run_ms);
    Client::default().call(request, CALL_TIMEOUT, ANSWER_MAX_BYTES).await
}

fn json(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap()
}

/// Sends a request in the background, because its answer may never arrive.
fn spawn_call(request: Request<Body>) -> JoinHandle<Result<Reply, Error>> {
    tokio::spawn(
        async move { Client::default().call(request, CALL_TIMEOUT, ANSWER_MAX_BYTES).await },
    )
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against an answer that belongs to another request, and against a log that
/// counts a repeated request as one run.
#[tokio::test]
async fn an_answer_belongs_to_its_request() {
    let endpoint = start(8).await;
    let reply = call(&endpoint, "r1", 1).await.unwrap();
    assert_eq!(reply.headers[headers::REQUEST_ID], "r1");
    assert_eq!(json(&reply)["body"], "flour");
    assert_eq!(endpoint.log().runs_of("r1"), 1);
    assert_eq!(call(&endpoint, "r1", 1).await.unwrap().status, 200);
    assert_eq!(endpoint.log().repeated_requests(), ["r1"]);
}

/// Guards against runs that ignore the fields of the body. Entry hosts forward only few
/// header fields, so tests depend on the body for the run time and the key of the work.
/// A key in the header takes precedence.
#[tokio::test]
async fn the_body_sets_run_time_and_key() {
    let endpoint = start(8).await;
    for (id, key) in [("r1", None), ("r2", None), ("r3", Some("loaf-2"))] {
        let mut request = Request::post(format!("http://{}/", endpoint.addr()))
            .header(headers::REQUEST_ID, id)
            .body(full_body(r#"{"run_ms":60000,"id":"loaf-1","more":[1]}"#))
            .unwrap();
        if let Some(key) = key {
            request.headers_mut().insert(headers::IDEMPOTENCY_KEY, key.parse().unwrap());
        }
        spawn_call(request);
    }
    let log = endpoint.log();
    wait_until(|| log.running("none") == 3).await;
    assert_eq!((log.runs_of_key("loaf-1"), log.runs_of_key("loaf-2")), (2, 1));
    assert_eq!(log.repeated_keys(), ["loaf-1"]);
    assert!(log.repeated_requests().is_empty());
}

/// Guards against an endpoint that hides overload: a request beyond its slots must be
/// refused, counted and not run.
#[tokio::test]
async fn a_request_beyond_the_slots_is_refused_and_counted() {
    let endpoint = start(2).await;
    let log = endpoint.log();
    spawn_call(request(&endpoint, "r1", 60_000));
    spawn_call(request(&endpoint, "r2", 60_000));
    wait_until(|| log.running("bakery") == 2).await;
    assert_eq!(call(&endpoint, "r3", 1).await.unwrap().status, 503);
    assert_eq!((endpoint.counts().over_slots, log.runs_of("r3")), (1, 0));
    assert_eq!((log.peak_at(endpoint.id()), log.peak("bakery")), (2, 2));
}

/// Guards against runs that end when their caller disconnects, which a real host would
/// not notice.
#[tokio::test]
async fn a_run_continues_after_its_caller_disconnects() {
    let endpoint = start(8).await;
    let log = endpoint.log();
    let call = spawn_call(request(&endpoint, "r1", 300));
    wait_until(|| log.running("bakery") == 1).await;
    call.abort();
    wait_until(|| log.running("bakery") == 0).await;
    let run = &log.runs()[0];
    assert!(run.end.unwrap() - run.start >= Duration::from_millis(300));
}

/// Guards against runs after the deadline: a late request must not start, and a run
/// must be stopped at its deadline.
#[tokio::test]
async fn nothing_runs_past_its_deadline() {
    let endpoint = start(8).await;
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let deadline = |ms: u128| (since.as_millis() + ms).to_string();
    let mut late = request(&endpoint, "late", 1);
    late.headers_mut().insert(headers::DEADLINE, "1000".parse().unwrap());
    let reply = Client::default().call(late, CALL_TIMEOUT, ANSWER_MAX_BYTES).await.unwrap();
    assert_eq!(
        (reply.status.as_u16(), &reply.headers[headers::OUTCOME]),
        (504, &"not-run".parse().unwrap())
    );
    assert_eq!((endpoint.log().total(), endpoint.counts().late), (0, 1));

    let mut long = request(&endpoint, "long", 60_000);
    long.headers_mut().insert(headers::DEADLINE, deadline(500).parse().unwrap());
    let reply = Client::default().call(long, CALL_TIMEOUT, ANSWER_MAX_BYTES).await.unwrap();
    assert_eq!((reply.status.as_u16(), json(&reply)["outcome"].as_str()), (504, Some("unknown")));
    assert_eq!((endpoint.log().running("bakery"), endpoint.counts().overdue), (0, 1));
}

/// Guards against faults that have no effect. Tests of failures would then pass without
/// a failure.
#[tokio::test]
async fn each_fault_has_its_effect() {
    let endpoint = start(8).await;
    let faults = endpoint.faults();
    faults.script(EndpointMode::Fail, 1);
    assert_eq!(call(&endpoint, "fail", 60_000).await.unwrap().status, 500);
    faults.script(EndpointMode::Cut, 1);
    assert!(matches!(call(&endpoint, "cut", 1).await, Err(Error::TruncatedBody { .. })));
    faults.script(EndpointMode::Oversized, 1);
    assert!(matches!(call(&endpoint, "oversized", 1).await, Err(Error::BodyTooLong { .. })));
    faults.script(EndpointMode::Trickle, 1);
    assert_eq!(json(&call(&endpoint, "trickle", 1).await.unwrap())["request"], "trickle");
    faults.script(EndpointMode::Hang, 1);
    let hung = spawn_call(request(&endpoint, "hang", 1));
    wait_until(|| endpoint.log().running("bakery") == 1).await;
    faults.set_closed(true);
    assert!(matches!(call(&endpoint, "closed", 1).await, Err(Error::IncompleteExchange { .. })));
    assert_eq!(endpoint.log().runs_of("closed"), 0);
    faults.clear();
    assert_eq!(call(&endpoint, "clear", 1).await.unwrap().status, 200);
    // A request that hangs does not block a planned stop.
    endpoint.stop().await;
    assert!(hung.await.unwrap().is_err());
}

/// Guards against a planned stop that breaks active runs, and against a kill that lets
/// them finish.
#[tokio::test]
async fn a_planned_stop_finishes_active_runs_and_a_kill_does_not() {
    for (kill, answered) in [(false, true), (true, false)] {
        let endpoint = start(8).await;
        let (addr, log) = (endpoint.addr(), endpoint.log().clone());
        let run_ms = if kill { 60_000 } else { 200 };
        let running = spawn_call(request(&endpoint, "r1", run_ms));
        wait_until(|| log.running("bakery") == 1).await;
        if kill {
            endpoint.kill().await
        } else {
            endpoint.stop().await
        }
        assert_eq!(running.await.unwrap().is_ok(), answered);
        wait_until(|| log.running("bakery") == 0).await;
        assert!(TcpStream::connect(addr).await.is_err());
        // A host can be restarted on the same address.
        let settings = EndpointSettings { addr, ..EndpointSettings::new("e1".parse().unwrap()) };
        let restarted = Endpoint::start(settings, log.clone()).await.unwrap();
        assert_eq!(call(&restarted, "r2", 1).await.unwrap().status, 200);
    }
}

/// Guards against fault requests with misspelt fields that are accepted and ignored.
#[tokio::test]
async fn faults_are_set_over_http() {
    let endpoint = start(8).await;
    let put = |body: &'static str| {
        let url = format!("http://{}/vg-stand-in/faults", endpoint.addr());
        let request = Request::put(url).body(full_body(body)).unwrap();
        async move {
            Client::default().call(request, CALL_TIMEOUT, ANSWER_MAX_BYTES).await.unwrap().status
        }
    };
    assert_eq!(put(r#"{"mode":"fail"}"#).await, 200);
    assert_eq!(call(&endpoint, "r1", 1).await.unwrap().status, 500);
    assert_eq!(put(r#"{"mood":"fail"}"#).await, 400);
    assert_eq!(put("{}").await, 200);
    assert_eq!(call(&endpoint, "r2", 1).await.unwrap().status, 200);
}
