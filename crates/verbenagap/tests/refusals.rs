//! Invalid requests and their responses, mostly at the address for callers.

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

/// A site and one of its entry hosts, which receives the requests.
struct Bench {
    site: Site,
    addr: SocketAddr,
    key: String,
}

impl Bench {
    async fn start() -> Bench {
        let site = small_site().await;
        let addr = site.nodes().values().next().unwrap().handle.node().call_addr;
        let key = site.team_keys().get(&name("dairy")).unwrap().to_owned();
        Bench { site, addr, key }
    }

    /// Sends a request and returns the status, code and outcome of the response.
    async fn send(
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

    /// Sends a call to the queue `urgent` with a valid key.
    async fn call(&self, headers: &[(&str, &str)], body: Vec<u8>) -> (u16, String, String) {
        let bearer = format!("Bearer {}", self.key);
        let headers = [&[("authorization", bearer.as_str())], headers].concat();
        self.send(Method::POST, "/v1/queues/urgent/calls", &headers, body).await
    }
}

/// Returns the expected response to a request that was refused and not run.
fn not_run(status: u16, code: &str) -> (u16, String, String) {
    (status, code.to_owned(), "not-run".to_owned())
}

/// Callers rely on the code and on the statement that the request did not run. An invalid
/// request must get the right code, and must not run.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_specific_errors() {
    let bench = Bench::start().await;
    let get = |path: &'static str| bench.send(Method::GET, path, &[], Vec::new());
    assert_eq!(get("/nowhere").await, not_run(404, "not-found"));
    assert_eq!(get("/v1/queues/urgent/calls").await, not_run(405, "method-not-allowed"));
    assert_eq!(get("/v1/events?from=x").await, not_run(400, "malformed-request"));
    let empty = Vec::new;
    let malformed = not_run(400, "malformed-request");
    for value in ["0", "-1", "soon", "86400001", "1.5", ""] {
        assert_eq!(bench.call(&[("vg-deadline-ms", value)], empty()).await, malformed, "{value}");
    }
    let repeated = [("vg-deadline-ms", "100"), ("vg-deadline-ms", "200")];
    assert_eq!(bench.call(&repeated, empty()).await, malformed);
    let long_key = "k".repeat(201);
    for value in ["", long_key.as_str()] {
        assert_eq!(bench.call(&[("idempotency-key", value)], empty()).await, malformed);
    }
    let basic_auth = [("authorization", "Basic eDp5")];
    let path = "/v1/queues/urgent/calls";
    assert_eq!(bench.send(Method::POST, path, &basic_auth, empty()).await, malformed);
    let too_long = vec![0; 1024 * 1024 + 1];
    assert_eq!(bench.call(&[], too_long).await, not_run(413, "body-too-long"));
    assert_eq!(bench.site.run_log().total(), 0);
}

/// A caller can close its connection in the middle of the body. The part that was received
/// must not be dispatched as if it were the whole request.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_request_does_not_run() {
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
    assert_eq!(bench.site.run_log().total(), 0);
}

/// Sends bytes on a new connection and returns the response, or what came of it within a
/// second.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut socket = TcpStream::connect(addr).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = socket.write_all(bytes).await;
    let mut response = Vec::new();
    let read = socket.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(1), read).await;
    response
}

/// Bytes that are not HTTP must get a client error or a closed connection, and must leave
/// both servers of the entry host able to serve the next request.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_does_not_block_later_requests() {
    let bench = Bench::start().await;
    let node = bench.site.nodes().values().next().unwrap().handle.node();
    for addr in [node.call_addr, node.peer_addr] {
        for bytes in [&b"\0\0\0\0"[..], b"GET\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"\r\n\r\n"] {
            let response = send_raw(addr, bytes).await;
            assert!(response.is_empty() || response.starts_with(b"HTTP/1.1 4"), "{response:?}");
        }
    }
    assert_eq!(bench.call(&[], b"x".to_vec()).await.0, 200);
}

/// Random bytes as the body of any request, from callers or peers, must not cause a panic,
/// an internal error or work to run, and must leave the entry host able to serve.
#[test]
fn random_bodies_do_not_break_an_entry_host() {
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
            let to_peer = path.starts_with("/peer");
            let addr = if to_peer { node.peer_addr } else { node.call_addr };
            let head =
                format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
            let bytes = [head.as_bytes(), &body].concat();
            let response = runtime.block_on(send_raw(addr, &bytes));
            prop_assert!(response.starts_with(b"HTTP/1.1 "), "{path}: {response:?}");
            prop_assert!(!response.starts_with(b"HTTP/1.1 500"), "{path}: {response:?}");
            Ok(())
        })
        .unwrap();
    assert_eq!(bench.site.run_log().total(), 0);
    assert_eq!(runtime.block_on(bench.call(&[], b"x".to_vec())).0, 200);
}
