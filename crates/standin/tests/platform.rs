//! Tests of the stand-ins for the store and the host list under faults, over real
//! sockets.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request};
use serde_json::{Value, json};
use vg_base::{ManualClock, SystemClock};
use vg_net::{Client, full_body};
use vg_standin::{Host, HostKind, HostListServer, HostState, Site, SiteSettings, StoreServer};
use vg_store::{
    CallKind, Error, EtcdSettings, EtcdStore, Fault, Key, MemStore, Store, StoreRevision, Txn,
    TxnOutcome, Watch,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn free_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn send_json(method: Method, url: String, body: Value) -> (u16, Value) {
    let request =
        Request::builder().method(method).uri(url).body(full_body(body.to_string())).unwrap();
    let reply = Client::default().call(request, CALL_TIMEOUT, 1024 * 1024).await.unwrap();
    (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap_or_default())
}

fn connect(server: &StoreServer) -> EtcdStore {
    let settings = EtcdSettings::new(vec![server.addr()]);
    EtcdStore::new(EtcdSettings { call_timeout: Duration::from_secs(1), ..settings })
}

fn create_txn() -> Txn {
    Txn::new().expect("k/a", None).put("k/a", "mine")
}

/// Guards against a write whose effect stays unknown after a lost answer. Repeating the
/// transaction resolves it: the comparison conflicts if the first attempt took effect.
#[tokio::test]
async fn repeating_the_compare_resolves_a_lost_answer() {
    let server = StoreServer::start(free_port(), MemStore::new(SystemClock)).await.unwrap();
    let store = connect(&server);
    for (fault, request_lost) in [(Fault::AnswerLost, false), (Fault::RequestLost, true)] {
        server.faults().script(CallKind::Txn, fault, 1);
        assert!(matches!(store.commit(create_txn()).await, Err(Error::AnswerLost { .. })));
        let repeated = store.commit(create_txn()).await.unwrap();
        assert_eq!(matches!(repeated, TxnOutcome::Committed { .. }), request_lost, "{fault:?}");
        store.commit(Txn::new().delete("k/a")).await.unwrap();
    }
}

/// Guards against treating a write that timed out as failed: a slow store may apply it
/// after the client has given up.
#[tokio::test]
async fn a_write_that_times_out_can_take_effect_later() {
    let server = StoreServer::start(free_port(), MemStore::new(SystemClock)).await.unwrap();
    let store = connect(&server);
    server.faults().script(CallKind::Txn, Fault::DelayedEffect(Duration::from_millis(1500)), 1);
    assert!(matches!(store.commit(create_txn()).await, Err(Error::AnswerLost { .. })));
    assert_eq!(store.get(&Key::from("k/a")).await.unwrap(), None);
    let mut watch = store.watch(&Key::from("k/"), StoreRevision(1)).await.unwrap();
    let changes = loop {
        let batch = watch.next().await.unwrap();
        if !batch.changes.is_empty() {
            break batch.changes;
        }
    };
    assert_eq!(changes[0].1.as_ref().unwrap().value, "mine");
    server.faults().set_delay(Duration::from_secs(60));
    assert!(matches!(store.get(&Key::from("k/a")).await, Err(Error::Unavailable { .. })));
}

/// Guards against watches that stay open silently after the store has stopped, and
/// against a simulated restart that loses data.
#[tokio::test]
async fn a_restarted_store_closes_watches_and_keeps_its_keys() {
    let memory = MemStore::new(SystemClock);
    let server = StoreServer::start(free_port(), memory.clone()).await.unwrap();
    let (addr, store) = (server.addr(), connect(&server));
    store.commit(create_txn()).await.unwrap();
    let mut watch = store.watch(&Key::from("k/"), StoreRevision(0)).await.unwrap();
    server.kill().await;
    assert!(matches!(watch.next().await, Err(Error::Unavailable { .. })));
    let error = store.commit(Txn::new().put("k/b", "")).await.unwrap_err();
    assert!(error.had_no_effect(), "{error}");
    let _server = StoreServer::start(addr, memory).await.unwrap();
    assert_eq!(store.range(&Key::from("k/")).await.unwrap().entries.len(), 1);
}

/// Guards against watches that miss changes without an error when they are closed or
/// when their start revision has been compacted.
#[tokio::test]
async fn a_watch_over_the_gateway_is_closed_and_compacted() {
    let memory = MemStore::new(SystemClock);
    let server = StoreServer::start(free_port(), memory.clone()).await.unwrap();
    let store = connect(&server);
    let prefix = Key::from("k/");
    let mut watch = store.watch(&prefix, StoreRevision(1)).await.unwrap();
    server.faults().cut_watches();
    assert!(matches!(watch.next().await, Err(Error::Unavailable { .. })));
    let mut watch = store.watch(&prefix, StoreRevision(1)).await.unwrap();
    server.faults().compact_watches(StoreRevision(7));
    assert_eq!(watch.next().await, Err(Error::Compacted { oldest: StoreRevision(7) }));
    store.commit(create_txn()).await.unwrap();
    store.commit(Txn::new().put("k/b", "")).await.unwrap();
    memory.compact(memory.revision());
    // The store first confirms a watch from a compacted revision and then ends it.
    let mut watch = store.watch(&prefix, StoreRevision(1)).await.unwrap();
    assert_eq!(watch.next().await, Err(Error::Compacted { oldest: memory.revision() }));
}

/// Guards against fault requests over HTTP that have no effect, or that are accepted
/// with misspelt fields or invalid probabilities.
#[tokio::test]
async fn store_faults_and_counts_are_served_over_http() {
    let server = StoreServer::start(free_port(), MemStore::new(SystemClock)).await.unwrap();
    let store = connect(&server);
    let url = |path: &str| format!("http://{}{path}", server.addr());
    let script = json!([{"call": "txn", "fault": "lost-before", "times": 1}]);
    let faults = json!({"script": script, "odds": {"unavailable": 1000}, "seed": 3});
    assert_eq!(send_json(Method::PUT, url("/faults"), faults).await.0, 200);
    assert!(matches!(store.commit(create_txn()).await, Err(Error::AnswerLost { .. })));
    assert!(matches!(store.range(&Key::from("k/")).await, Err(Error::Unavailable { .. })));
    assert_eq!(send_json(Method::PUT, url("/faults"), json!({"dwon": true})).await.0, 400);
    assert_eq!(
        send_json(Method::PUT, url("/faults"), json!({"odds": {"after": 1001}})).await.0,
        400
    );
    assert_eq!(send_json(Method::PUT, url("/faults"), json!({})).await.0, 200);
    assert!(store.commit(create_txn()).await.is_ok());
    let rates = json!({"rates": {"reads": 1, "writes": 0}});
    assert_eq!(send_json(Method::PUT, url("/faults"), rates).await.0, 200);
    let error = store.commit(create_txn()).await.unwrap_err();
    assert!(error.had_no_effect(), "{error}");
    let counts = send_json(Method::GET, url("/counts"), Value::Null).await.1;
    let expected = json!({"get": 0, "range": 1, "txn": 3, "lease": 0, "watch": 0, "throttled": 1});
    assert_eq!(counts, expected);
}

/// Guards against invalid or unsupported gateway requests that are reported as errors
/// of the server (status 500 and above) or change data.
#[tokio::test]
async fn unsupported_store_requests_never_cause_a_server_error() {
    let server = StoreServer::start(free_port(), MemStore::new(SystemClock)).await.unwrap();
    let op = |op: Value| json!({"success": [op]});
    let bodies = [
        Value::Null,
        json!(7),
        json!({"key": "%"}),
        json!({"key": "/w=="}),
        json!({"key": "Zm9v", "range_end": "Zm9z"}),
        json!({"compare": [{"key": "Zm9v", "target": "VERSION", "version": "1"}]}),
        json!({"compare": [{"key": "Zm9v", "target": "MOD", "mod_revision": "x"}]}),
        op(json!({})),
        op(json!({"request_put": {"key": "Zm9v"}, "request_range": {"key": "Zm9v"}})),
        json!({"failure": [{"request_put": {"key": "Zm9v"}}]}),
        json!({"TTL": "-1"}),
        json!({"ID": "99999999999999999999"}),
        json!({"create_request": {"key": "Zm9v"}}),
    ];
    let paths = ["kv/range", "kv/txn", "lease/grant", "lease/keepalive", "lease/revoke", "watch"];
    for path in paths {
        for body in &bodies {
            let url = format!("http://{}/v3/{path}", server.addr());
            let request = Request::post(url).body(full_body(body.to_string())).unwrap();
            let response = Client::default().send(request, CALL_TIMEOUT).await.unwrap();
            assert!(response.status().as_u16() < 500, "{path}: {body}");
        }
    }
    assert_eq!(connect(&server).range(&Key::from("")).await.unwrap().entries, []);
}

fn host(id: &str) -> Host {
    Host {
        id: id.parse().unwrap(),
        pool: None,
        zone: "z1".parse().unwrap(),
        rack: "r1".parse().unwrap(),
        addr: "127.0.0.1:9".parse().unwrap(),
        kind: HostKind::Endpoint,
        state: HostState::Live,
    }
}

/// Guards against a host list that shows changes before its delay, or an older revision
/// than one that it has already shown.
#[tokio::test]
async fn the_host_list_lags_and_never_shows_an_older_revision() {
    let clock = ManualClock::default();
    let list = HostListServer::start(free_port(), clock.clone()).await.unwrap();
    list.set_lag(Duration::from_secs(2));
    let url = format!("http://{}/hosts", list.addr());
    list.put(host("e1"));
    clock.advance(Duration::from_secs(1));
    assert!(list.mark_leaving(&"e1".parse().unwrap()));
    assert_eq!(send_json(Method::GET, url.clone(), Value::Null).await.1["hosts"], json!([]));
    clock.advance(Duration::from_secs(1));
    let visible = send_json(Method::GET, url.clone(), Value::Null).await.1;
    assert_eq!((&visible["revision"], &visible["hosts"][0]["state"]), (&json!(1), &json!("live")));
    clock.advance(Duration::from_secs(1));
    let visible = send_json(Method::GET, url.clone(), Value::Null).await.1;
    let leaving = json!({
        "id": "e1", "zone": "z1", "rack": "r1", "addr": "127.0.0.1:9",
        "kind": "endpoint", "state": "leaving",
    });
    assert_eq!(visible, json!({"revision": 2, "hosts": [leaving]}));
    // A longer delay does not bring back dropped snapshots.
    list.set_lag(Duration::from_secs(60));
    assert!(list.visible_list().revision.get() != 1);
    list.set_down(true);
    assert_eq!(send_json(Method::GET, url, Value::Null).await.0, 503);
}

/// Guards against edits over HTTP that don't reach the list, or that succeed for a host
/// that is not listed.
#[tokio::test]
async fn the_host_list_is_edited_over_http() {
    let list = HostListServer::start(free_port(), SystemClock).await.unwrap();
    let url = |path: &str| format!("http://{}{path}", list.addr());
    let put = serde_json::to_value(host("e1")).unwrap();
    assert_eq!(send_json(Method::PUT, url("/hosts"), put).await.0, 200);
    assert_eq!(send_json(Method::POST, url("/hosts/e1/leave"), Value::Null).await.0, 200);
    assert_eq!(list.visible_list().hosts[0].state, HostState::Leaving);
    assert_eq!(send_json(Method::DELETE, url("/hosts/e1"), Value::Null).await.0, 200);
    assert_eq!(send_json(Method::DELETE, url("/hosts/e1"), Value::Null).await.0, 404);
    assert_eq!(send_json(Method::POST, url("/hosts/E1/leave"), Value::Null).await.0, 400);
}

/// Guards against a site whose hosts are missing in the host list or share one rack.
#[tokio::test]
async fn a_site_spreads_its_hosts_over_zones_and_racks() {
    let settings = SiteSettings { lag: Duration::ZERO, workers: 13, ..SiteSettings::default() };
    let site = Site::start(&settings).await.unwrap();
    let visible = site.hosts.visible_list();
    assert_eq!(visible.hosts.len(), 17);
    let racks: std::collections::BTreeSet<_> = visible
        .hosts
        .iter()
        .filter(|each| each.kind == HostKind::Worker)
        .map(|each| each.rack.clone())
        .collect();
    assert_eq!(racks.len(), 4);
    site.stop().await;
}
