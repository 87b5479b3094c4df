//! Stand-ins of entry hosts that serve the callers' address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use gotham::handler::HandlerError;
use gotham::hyper::{HeaderMap, Method, Uri};
use gotham::state::{FromState, State};
use http::{HeaderValue, Response, StatusCode};
use serde_json::{Value, json};
use vg_base::ManualClock;
use vg_base::prelude::Duration;
use vg_conf::StoredLists;
use vg_conf::stored::LISTS_KEY;
use vg_events::{Code, Field, Recorder};
use vg_net::{Body, Limits, Server, ServerHandle, full_body};
use vg_store::{MemStore, Store};

/// What the tests turn at the nodes.
#[derive(Debug, Default)]
pub(crate) struct Knobs {
    /// Revisions that nodes stay at; the others follow the store.
    pub(crate) held: BTreeMap<String, u64>,
    /// Members that all nodes know, with their states and addresses.
    pub(crate) members: Vec<(String, String, SocketAddr)>,
    /// Times that the job was asked about.
    pub(crate) asked: u32,
}

/// Starts a node on a free port.
pub(crate) async fn start(name: &str, store: MemStore, knobs: Arc<Mutex<Knobs>>) -> ServerHandle {
    let addr: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(addr, Limits::default()).await.unwrap();
    let node = Node { name: name.to_owned(), store, knobs };
    server.start(move || {
        let node = node.clone();
        Ok(move |state: State| node.answer(state))
    })
}

#[derive(Clone)]
struct Node {
    name: String,
    store: MemStore,
    knobs: Arc<Mutex<Knobs>>,
}

/// Returns the mark of an answer; that of `odd` has none.
fn outcome_of(path: &str, body: &Value) -> Option<&'static str> {
    match body.get("outcome").and_then(Value::as_str) {
        Some("not-run") => Some("not-run"),
        Some(_) => Some("unknown"),
        None if path.contains("/odd/") => None,
        None => Some("answered"),
    }
}

type Answer = Result<(State, Response<Body>), (State, HandlerError)>;

impl Node {
    fn answer(self, state: State) -> std::pin::Pin<Box<dyn Future<Output = Answer> + Send>> {
        let method = Method::borrow_from(&state).clone();
        let uri = Uri::borrow_from(&state).clone();
        let path = uri.path().to_owned();
        let has_key = HeaderMap::borrow_from(&state).contains_key("authorization");
        Box::pin(async move {
            let (status, body) = match path.as_str() {
                "/v1/status" => (200, self.status().await),
                "/v1/events" => (200, self.events(uri.query().unwrap_or_default())),
                _ => self.work(&method, &path, has_key),
            };
            let mut response = Response::new(full_body(body.to_string()));
            *response.status_mut() = StatusCode::from_u16(status).unwrap();
            if let Some(outcome) = outcome_of(&path, &body) {
                response.headers_mut().insert("vg-outcome", HeaderValue::from_static(outcome));
            }
            Ok((state, response))
        })
    }

    async fn status(&self) -> Value {
        let entry = self.store.get(&LISTS_KEY.into()).await.unwrap();
        let stored = entry.map(|entry| StoredLists::decode_unchecked(&entry.value).unwrap());
        let newest = stored.map_or(0, |stored| stored.revision.get());
        let knobs = self.knobs.lock().unwrap();
        let revision = knobs.held.get(&self.name).copied().unwrap_or(newest);
        let member = |(node, state, addr): &(String, String, SocketAddr)| json!({"node": node, "state": state, "call_addr": addr});
        let members: Vec<Value> = knobs.members.iter().map(member).collect();
        json!({"node": self.name, "incarnation": 7, "revision": revision, "state": "serving",
            "members": members})
    }

    fn events(&self, query: &str) -> Value {
        let clock = ManualClock::default();
        let recorder = Recorder::new(clock.clone(), format!("{}/7", self.name), 3);
        let steps = [Code::ProcessStarted, Code::CallReceived, Code::CallStarted, Code::CallNotRun];
        for (at, code) in steps.into_iter().enumerate() {
            clock.advance(Duration::from_millis(if self.name == "e1" { 5 } else { 4 }));
            let (team, request) = if at == 1 { ("bakery", 7) } else { ("<dairy>", 8) };
            // As at the daemon, the end of a request names no team.
            let team = (at < 3).then(|| Field::new("team", team));
            recorder.record(code, team.into_iter().chain([Field::new("request", request)]));
        }
        let from = query.strip_prefix("from=").unwrap().parse().unwrap();
        // Pages of two, to see that the next ones are asked for.
        serde_json::to_value(recorder.window(from, 2)).unwrap()
    }

    fn work(&self, method: &Method, path: &str, has_key: bool) -> (u16, Value) {
        let id = "0000000000000000000000000000002a";
        if !has_key {
            let detail = "the queue `urgent` takes work with a key only";
            return (401, json!({"code": "key-missing", "detail": detail, "outcome": "not-run"}));
        }
        match (method.as_str(), path) {
            ("POST", "/v1/queues/urgent/calls") => (200, json!({"notice": "sent"})),
            ("POST", "/v1/queues/full/calls") => (
                503,
                json!({"code": "queue-full",
                "detail": "7 requests\u{1b}[2J\nwait already", "outcome": "not-run", "retry_after_ms": 250}),
            ),
            ("POST", "/v1/queues/cut/calls") => (
                502,
                json!({"code": "answer-cut",
                "detail": "the endpoint closed the connection", "outcome": "unknown"}),
            ),
            ("POST", "/v1/queues/odd/calls") => (502, json!("a page of something before us")),
            ("POST", "/v1/queues/own/calls") => (409, json!({"title": "endpoint's own problem"})),
            ("POST", "/v1/queues/urgent/jobs") => (202, json!({"id": id, "state": "queued"})),
            ("DELETE", _) => (200, json!({"id": id, "state": "cancelled"})),
            ("GET", _) => (200, json!({"id": id, "state": self.job_state()})),
            _ => {
                (404, json!({"code": "no-queue", "detail": "no such queue", "outcome": "not-run"}))
            }
        }
    }

    fn job_state(&self) -> Value {
        let mut knobs = self.knobs.lock().unwrap();
        knobs.asked += 1;
        if knobs.asked < 3 { json!("running") } else { json!({"Done": {"exit": 0}}) }
    }
}
