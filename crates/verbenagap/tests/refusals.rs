//! Bad input at the callers' address, each with its answer.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{name, small_site};
use http::{Method, Request};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use verbenagap::site::Site;
use vg_net::Client;

struct Bench {
    site: Site,
    addr: SocketAddr,
    key: String,
}

impl Bench {
    async fn start() -> Bench {
        let site = small_site().await;
        let addr = site.nodes().values().next().unwrap().handle.node().call_addr;
        let key = site.keys().get(&name("dairy")).unwrap().to_owned();
        Bench { site, addr, key }
    }

    /// Sends a request and returns status, code and outcome.
    async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> (u16, String, String) {
        let mut request =
            Request::builder().method(method).uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(vg_net::full_body(body)).unwrap();
        let reply =
            Client::default().call(request, Duration::from_secs(10), 1 << 20).await.unwrap();
        let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let text = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
        (reply.status.as_u16(), text("code"), text("outcome"))
    }

    async fn call(&self, headers: &[(&str, &str)], body: Vec<u8>) -> (u16, String, String) {
        let bearer = format!("Bearer {}", self.key);
        let headers = [&[("authorization", bearer.as_str())], headers].concat();
        self.ask(Method::POST, "/v1/queues/urgent/calls", &headers, body).await
    }
}

fn not_run(status: u16, code: &str) -> (u16, String, String) {
    (status, code.to_owned(), "not-run".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_request_has_its_answer() {
    let bench = Bench::start().await;
    let get = |path: &'static str| bench.ask(Method::GET, path, &[], Vec::new());
    assert_eq!(get("/nowhere").await, not_run(404, "not-found"));
    assert_eq!(get("/v1/queues/urgent/calls").await, not_run(405, "method-not-allowed"));
    assert_eq!(get("/v1/events?from=x").await, not_run(400, "malformed-request"));
    let nothing = Vec::new;
    let bad = not_run(400, "malformed-request");
    for value in ["0", "-1", "soon", "86400001", "1.5", ""] {
        assert_eq!(bench.call(&[("vg-deadline-ms", value)], nothing()).await, bad, "{value}");
    }
    let twice = [("vg-deadline-ms", "100"), ("vg-deadline-ms", "200")];
    assert_eq!(bench.call(&twice, nothing()).await, bad);
    let long = "k".repeat(201);
    for value in ["", long.as_str()] {
        assert_eq!(bench.call(&[("idempotency-key", value)], nothing()).await, bad);
    }
    let basic = [("authorization", "Basic eDp5")];
    let path = "/v1/queues/urgent/calls";
    assert_eq!(bench.ask(Method::POST, path, &basic, nothing()).await, bad);
    let over = vec![0; 1024 * 1024 + 1];
    assert_eq!(bench.call(&[], over).await, not_run(413, "body-too-long"));
    assert_eq!(bench.site.log().total(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_halfway_has_run_nothing() {
    let bench = Bench::start().await;
    let mut socket = TcpStream::connect(bench.addr).await.unwrap();
    let head = format!(
        "POST /v1/queues/urgent/calls HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\nhalf",
        bench.key
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(socket);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(bench.site.log().total(), 0);
}

/// Sends octets on a connection of their own; returns what came back.
async fn raw(addr: SocketAddr, octets: &[u8]) -> Vec<u8> {
    let mut socket = TcpStream::connect(addr).await.unwrap();
    // The server may close before it has read all.
    let _ = socket.write_all(octets).await;
    let mut answer = Vec::new();
    let read = socket.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(1), read).await;
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_is_answered_or_cut_and_the_next_caller_is_served() {
    let bench = Bench::start().await;
    let node = bench.site.nodes().values().next().unwrap().handle.node();
    for addr in [node.call_addr, node.peer_addr] {
        for octets in [&b"\0\0\0\0"[..], b"GET\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"\r\n\r\n"] {
            let answer = raw(addr, octets).await;
            assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 4"), "{answer:?}");
        }
    }
    assert_eq!(bench.call(&[], b"x".to_vec()).await.0, 200);
}

/// Any octets at any path of either address: no panic, no work run.
#[test]
fn any_octets_at_any_path_do_no_harm() {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let bench = runtime.block_on(Bench::start());
    let node = bench.site.nodes().values().next().unwrap().handle.node().clone();
    let paths = prop::sample::select(vec![
        "/peer/heartbeat",
        "/peer/units",
        "/peer/jobs",
        "/peer/jobs/units",
        "/peer/lists",
        "/peer/receipts",
        "/peer/receipts/settled",
        "/peer/pools/notices/handover",
        "/peer/queues/urgent/calls",
        "/v1/queues/urgent/calls",
        "/v1/queues/urgent/jobs",
        "/v1/queues/%00/calls",
    ]);
    let body = prop::collection::vec(any::<u8>(), 0..200);
    let mut runner = TestRunner::new(Config { cases: 300, ..Config::default() });
    runner
        .run(&(paths, body), |(path, body)| {
            let peer = path.starts_with("/peer");
            let addr = if peer { node.peer_addr } else { node.call_addr };
            let head =
                format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
            let octets = [head.as_bytes(), &body].concat();
            let answer = runtime.block_on(raw(addr, &octets));
            prop_assert!(answer.starts_with(b"HTTP/1.1 "), "{path}: {answer:?}");
            prop_assert!(!answer.starts_with(b"HTTP/1.1 500"), "{path}: {answer:?}");
            Ok(())
        })
        .unwrap();
    assert_eq!(bench.site.log().total(), 0);
    assert_eq!(runtime.block_on(bench.call(&[], b"x".to_vec())).0, 200);
}
