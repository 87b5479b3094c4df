//! The store's and the host list's stand-ins under faults, over real sockets.

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

const LIMIT: Duration = Duration::from_secs(5);

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn send(method: Method, url: String, body: Value) -> (u16, Value) {
    let request =
        Request::builder().method(method).uri(url).body(full_body(body.to_string())).unwrap();
    let reply = Client::default().call(request, LIMIT, 1024 * 1024).await.unwrap();
    (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap_or_default())
}

fn adapter(server: &StoreServer) -> EtcdStore {
    let settings = EtcdSettings::new(vec![server.addr()]);
    EtcdStore::new(EtcdSettings { call_timeout: Duration::from_secs(1), ..settings })
}

fn create() -> Txn {
    Txn::new().expect("k/a", None).put("k/a", "mine")
}

#[tokio::test]
async fn a_lost_answer_over_the_gateway_is_settled_by_the_same_compare() {
    let server = StoreServer::start(any(), MemStore::new(SystemClock)).await.unwrap();
    let store = adapter(&server);
    for (fault, lost) in [(Fault::AnswerLost, false), (Fault::RequestLost, true)] {
        server.faults().script(CallKind::Txn, fault, 1);
        assert!(matches!(store.commit(create()).await, Err(Error::AnswerLost { .. })));
        let settled = store.commit(create()).await.unwrap();
        assert_eq!(matches!(settled, TxnOutcome::Committed { .. }), lost, "{fault:?}");
        store.commit(Txn::new().delete("k/a")).await.unwrap();
    }
}

#[tokio::test]
async fn a_slow_store_leaves_a_write_in_doubt_that_takes_effect_later() {
    let server = StoreServer::start(any(), MemStore::new(SystemClock)).await.unwrap();
    let store = adapter(&server);
    server.faults().script(CallKind::Txn, Fault::DelayedEffect(Duration::from_millis(1500)), 1);
    assert!(matches!(store.commit(create()).await, Err(Error::AnswerLost { .. })));
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

#[tokio::test]
async fn a_restarted_service_cuts_watches_and_keeps_its_keys() {
    let memory = MemStore::new(SystemClock);
    let server = StoreServer::start(any(), memory.clone()).await.unwrap();
    let (addr, store) = (server.addr(), adapter(&server));
    store.commit(create()).await.unwrap();
    let mut watch = store.watch(&Key::from("k/"), StoreRevision(0)).await.unwrap();
    server.kill().await;
    assert!(matches!(watch.next().await, Err(Error::Unavailable { .. })));
    let error = store.commit(Txn::new().put("k/b", "")).await.unwrap_err();
    assert!(error.had_no_effect(), "{error}");
    let _server = StoreServer::start(addr, memory).await.unwrap();
    assert_eq!(store.range(&Key::from("k/")).await.unwrap().entries.len(), 1);
}

#[tokio::test]
async fn a_watch_over_the_gateway_is_cut_and_compacted() {
    let memory = MemStore::new(SystemClock);
    let server = StoreServer::start(any(), memory.clone()).await.unwrap();
    let store = adapter(&server);
    let prefix = Key::from("k/");
    let mut watch = store.watch(&prefix, StoreRevision(1)).await.unwrap();
    server.faults().cut_watches();
    assert!(matches!(watch.next().await, Err(Error::Unavailable { .. })));
    let mut watch = store.watch(&prefix, StoreRevision(1)).await.unwrap();
    server.faults().compact_watches(StoreRevision(7));
    assert_eq!(watch.next().await, Err(Error::Compacted { oldest: StoreRevision(7) }));
    store.commit(create()).await.unwrap();
    store.commit(Txn::new().put("k/b", "")).await.unwrap();
    memory.compact(memory.revision());
    // The service confirms such a watch first and ends it then.
    let mut watch = store.watch(&prefix, StoreRevision(1)).await.unwrap();
    assert_eq!(watch.next().await, Err(Error::Compacted { oldest: memory.revision() }));
}

#[tokio::test]
async fn faults_and_counts_of_the_store_go_over_http() {
    let server = StoreServer::start(any(), MemStore::new(SystemClock)).await.unwrap();
    let store = adapter(&server);
    let url = |path: &str| format!("http://{}{path}", server.addr());
    let script = json!([{"call": "txn", "fault": "lost-before", "times": 1}]);
    let faults = json!({"script": script, "odds": {"unavailable": 1000}, "seed": 3});
    assert_eq!(send(Method::PUT, url("/faults"), faults).await.0, 200);
    assert!(matches!(store.commit(create()).await, Err(Error::AnswerLost { .. })));
    assert!(matches!(store.range(&Key::from("k/")).await, Err(Error::Unavailable { .. })));
    assert_eq!(send(Method::PUT, url("/faults"), json!({"dwon": true})).await.0, 400);
    assert_eq!(send(Method::PUT, url("/faults"), json!({"odds": {"after": 1001}})).await.0, 400);
    assert_eq!(send(Method::PUT, url("/faults"), json!({})).await.0, 200);
    assert!(store.commit(create()).await.is_ok());
    let rates = json!({"rates": {"reads": 1, "writes": 0}});
    assert_eq!(send(Method::PUT, url("/faults"), rates).await.0, 200);
    let error = store.commit(create()).await.unwrap_err();
    assert!(error.had_no_effect(), "{error}");
    let counts = send(Method::GET, url("/counts"), Value::Null).await.1;
    let expected = json!({"get": 0, "range": 1, "txn": 3, "lease": 0, "watch": 0, "throttled": 1});
    assert_eq!(counts, expected);
}

#[tokio::test]
async fn what_the_store_does_not_serve_is_refused_and_never_an_error_of_its_own() {
    let server = StoreServer::start(any(), MemStore::new(SystemClock)).await.unwrap();
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
            let response = Client::default().send(request, LIMIT).await.unwrap();
            assert!(response.status().as_u16() < 500, "{path}: {body}");
        }
    }
    assert_eq!(adapter(&server).range(&Key::from("")).await.unwrap().entries, []);
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

#[tokio::test]
async fn the_host_list_lags_and_never_goes_back() {
    let clock = ManualClock::default();
    let list = HostListServer::start(any(), clock.clone()).await.unwrap();
    list.set_lag(Duration::from_secs(2));
    let url = format!("http://{}/hosts", list.addr());
    list.put(host("e1"));
    clock.advance(Duration::from_secs(1));
    assert!(list.leave(&"e1".parse().unwrap()));
    assert_eq!(send(Method::GET, url.clone(), Value::Null).await.1["hosts"], json!([]));
    clock.advance(Duration::from_secs(1));
    let shown = send(Method::GET, url.clone(), Value::Null).await.1;
    assert_eq!((&shown["revision"], &shown["hosts"][0]["state"]), (&json!(1), &json!("live")));
    clock.advance(Duration::from_secs(1));
    let shown = send(Method::GET, url.clone(), Value::Null).await.1;
    let leaving = json!({
        "id": "e1", "zone": "z1", "rack": "r1", "addr": "127.0.0.1:9",
        "kind": "endpoint", "state": "leaving",
    });
    assert_eq!(shown, json!({"revision": 2, "hosts": [leaving]}));
    // A longer lag can't bring back what has been forgotten.
    list.set_lag(Duration::from_secs(60));
    assert!(list.shown().revision.get() != 1);
    list.set_down(true);
    assert_eq!(send(Method::GET, url, Value::Null).await.0, 503);
}

#[tokio::test]
async fn the_host_list_is_edited_over_http() {
    let list = HostListServer::start(any(), SystemClock).await.unwrap();
    let url = |path: &str| format!("http://{}{path}", list.addr());
    let put = serde_json::to_value(host("e1")).unwrap();
    assert_eq!(send(Method::PUT, url("/hosts"), put).await.0, 200);
    assert_eq!(send(Method::POST, url("/hosts/e1/leave"), Value::Null).await.0, 200);
    assert_eq!(list.shown().hosts[0].state, HostState::Leaving);
    assert_eq!(send(Method::DELETE, url("/hosts/e1"), Value::Null).await.0, 200);
    assert_eq!(send(Method::DELETE, url("/hosts/e1"), Value::Null).await.0, 404);
    assert_eq!(send(Method::POST, url("/hosts/E1/leave"), Value::Null).await.0, 400);
}

#[tokio::test]
async fn a_site_lists_its_hosts_over_zones_and_racks() {
    let settings = SiteSettings { lag: Duration::ZERO, workers: 13, ..SiteSettings::default() };
    let site = Site::start(&settings).await.unwrap();
    let shown = site.hosts.shown();
    assert_eq!(shown.hosts.len(), 17);
    let racks: std::collections::BTreeSet<_> = shown
        .hosts
        .iter()
        .filter(|each| each.kind == HostKind::Worker)
        .map(|each| each.rack.clone())
        .collect();
    assert_eq!(racks.len(), 4);
    site.stop().await;
}
