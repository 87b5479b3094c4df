//! The limits and the graceful shutdown of the server, over real sockets.

use std::time::Duration;

use gotham::prelude::*;
use gotham::router::{Router, build_simple_router};
use gotham::state::State;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use vg_net::{Client, Limits, Server, ServerHandle, empty_body};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers after 200 ms.
async fn slow(state: &mut State) -> Result<&'static str, gotham::handler::HandlerError> {
    let _ = state;
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok("whole")
}

fn router() -> Router {
    build_simple_router(|route| {
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

/// Guards against a connection above the limit that is closed without an answer,
/// so that the client can't tell whether its request ran.
#[tokio::test]
async fn connection_above_the_limit_is_answered_503() {
    let server = start(Limits { max_connections: 1, ..Limits::default() }).await;
    let _open = TcpStream::connect(server.addr()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let reply = Client::default().call(get(&server), REQUEST_TIMEOUT, 100).await.unwrap();
    assert_eq!(reply.status, 503);
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(body["code"], "too-many-connections");
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
