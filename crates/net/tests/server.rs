//! The limits and the graceful shutdown of the server, over real sockets.

use std::time::Duration;

use gotham::prelude::*;
use gotham::router::{Router, build_simple_router};
use gotham::state::{FromState, State};
use http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use vg_net::{
    Body, Budget, Client, Limits, Server, ServerHandle, empty_body, full_body, read_request,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers after 200 ms.
async fn slow(state: &mut State) -> Result<&'static str, gotham::handler::HandlerError> {
    let _ = state;
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok("whole")
}

/// Reads a body and answers with its length, or 503 if it can't be read.
async fn sized(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let body = Body::take_from(state);
    let (status, text) = match read_request(body, 100_000, REQUEST_TIMEOUT).await {
        Ok(bytes) => (200, bytes.len().to_string()),
        Err(error) => (503, error.to_string()),
    };
    Ok(Response::builder().status(status).body(full_body(text)).unwrap())
}

fn router() -> Router {
    build_simple_router(|route| {
        route.post("/sized").to_async_borrowing(sized);
        route.get("/slow").to_async_borrowing(slow);
    })
}

async fn start(limits: Limits) -> ServerHandle {
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).await.unwrap();
    server.start(router())
}

fn get(server: &ServerHandle) -> Request<vg_net::Body> {
    Request::get(format!("http://{}/slow", server.addr())).body(empty_body()).unwrap()
}

/// Guards against a stop that breaks a running request or that still accepts
/// connections.
#[tokio::test]
async fn stop_finishes_running_requests_and_refuses_new_connections() {
    let server = start(Limits::default()).await;
    let addr = server.addr();
    let request = get(&server);
    let running =
        tokio::spawn(async move { Client::default().call(request, REQUEST_TIMEOUT, 100).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    server.stop().await;
    assert_eq!(running.await.unwrap().unwrap().body, "whole");
    assert!(TcpStream::connect(addr).await.is_err());
}

/// Reads the status line of a response, or nothing if the connection was closed.
async fn read_status(socket: &mut TcpStream) -> String {
    let mut answer = [0; 12];
    match tokio::time::timeout(REQUEST_TIMEOUT, socket.read_exact(&mut answer)).await.unwrap() {
        Ok(_) => String::from_utf8(answer.to_vec()).unwrap(),
        Err(_) => String::new(),
    }
}

/// Guards against clients that hold all connections without a request, so that others
/// are refused.
#[tokio::test]
async fn idle_connection_gives_way_to_one_above_the_limit() {
    let server = start(Limits { max_connections: 1, ..Limits::default() }).await;
    let mut idle = TcpStream::connect(server.addr()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let reply = Client::default().call(get(&server), REQUEST_TIMEOUT, 100).await.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(read_status(&mut idle).await, "");
}

/// Guards against unfinished bodies that hold the budget for ever, and against a refusal
/// that closes the connection without an answer.
#[tokio::test]
async fn longest_unfinished_body_is_answered_503_when_the_budget_is_exhausted() {
    // Room for two connections with half a body each.
    let budget = Budget::new(2 * 60_000);
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), Limits::default()).await.unwrap();
    let server = server.with_budget(budget.clone()).start(router());
    let mut open = Vec::new();
    for _ in 0..3 {
        let mut socket = TcpStream::connect(server.addr()).await.unwrap();
        let head = b"POST /sized HTTP/1.1\r\nhost: x\r\ncontent-length: 40000\r\n\r\n";
        socket.write_all(head).await.unwrap();
        socket.write_all(&[b'x'; 20_000]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        open.push(socket);
    }
    assert_eq!(read_status(&mut open[0]).await, "HTTP/1.1 503");
    let last = open.last_mut().unwrap();
    last.write_all(&[b'x'; 20_000]).await.unwrap();
    assert_eq!(read_status(last).await, "HTTP/1.1 200");
    drop(open);
    while budget.usage().connections > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(budget.usage().bytes, 0);
}

/// Guards against a body that never ends and is awaited for ever.
#[tokio::test]
async fn body_without_progress_is_answered_503() {
    let limits = Limits { body_stall: Duration::from_millis(50), ..Limits::default() };
    let server = start(limits).await;
    let mut socket = TcpStream::connect(server.addr()).await.unwrap();
    let head = b"POST /sized HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc";
    socket.write_all(head).await.unwrap();
    assert_eq!(read_status(&mut socket).await, "HTTP/1.1 503");
}

/// Guards against a connection above the limit that is closed without an answer,
/// so that the client can't tell whether its request ran. The open one can't give way,
/// because its request is being served.
#[tokio::test]
async fn connection_above_the_limit_is_answered_503() {
    let server = start(Limits { max_connections: 1, ..Limits::default() }).await;
    let mut served = TcpStream::connect(server.addr()).await.unwrap();
    served.write_all(b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let reply = Client::default().call(get(&server), REQUEST_TIMEOUT, 100).await.unwrap();
    assert_eq!(reply.status, 503);
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(body["code"], "too-many-connections");
    assert_eq!(read_status(&mut served).await, "HTTP/1.1 200");
}

/// Guards against a server that reads headers of any size into memory.
#[tokio::test]
async fn overlong_header_is_answered_431() {
    let server = start(Limits { max_header_bytes: 8192, ..Limits::default() }).await;
    let mut socket = TcpStream::connect(server.addr()).await.unwrap();
    let head = format!("GET /slow HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n", "y".repeat(20_000));
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    socket.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 431");
}

/// Guards against a failed connection that is reported as if the request may have
/// run. A caller would then not send the request to another server.
#[tokio::test]
async fn failed_connection_proves_that_nothing_was_sent() {
    let server = start(Limits::default()).await;
    let request = get(&server);
    server.stop().await;
    let error = Client::default().call(request, REQUEST_TIMEOUT, 100).await.unwrap_err();
    assert!(error.is_not_sent(), "{error}");
}
