//! Tests of what the client writes to its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use vg_net::{Client, Error, full_body};

/// Body of each request; its last byte shows that the request is complete.
const BODY: &str = "start this.";
const LIMIT: Duration = Duration::from_secs(5);
const MAX_BYTES: usize = 1024;

/// Reads until a request is complete. Returns whether there was one.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut read = Vec::new();
    while !read.ends_with(BODY.as_bytes()) {
        let mut buffer = [0; 1024];
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => read.extend_from_slice(&buffer[..count]),
            _ => return false,
        }
    }
    true
}

async fn post(client: &Client, addr: SocketAddr, limit: Duration) -> Result<(), Error> {
    let request = Request::post(format!("http://{addr}/")).body(full_body(BODY)).unwrap();
    client.call(request, limit, MAX_BYTES).await.map(drop)
}

/// Guards against a command that is carried out twice: a request that was written to an unused
/// connection, which then ends without an answer, is written again to another one.
#[tokio::test]
async fn a_request_that_was_written_is_not_written_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                // Each connection serves one request, and ends when it has read another.
                while read_request(&mut stream).await {
                    if count.fetch_add(1, Ordering::SeqCst) % 2 == 1 {
                        return;
                    }
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer).await.unwrap();
                }
            });
        }
    });
    let client = Client::default();
    for round in 1..=20 {
        post(&client, addr, LIMIT).await.unwrap();
        let error = post(&client, addr, LIMIT).await.unwrap_err();
        assert!(error.is_broken() && !error.is_not_sent(), "{error}");
        assert_eq!(requests.load(Ordering::SeqCst), 2 * round);
    }
}

/// Guards against bytes that are written for a call that was given up.
#[tokio::test]
async fn a_call_that_is_given_up_closes_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let client = Client::default();
    let call = tokio::spawn(async move {
        let error = post(&client, addr, Duration::from_millis(100)).await.unwrap_err();
        (client, error)
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(read_request(&mut stream).await);
    let (_client, error) = call.await.unwrap();
    assert!(!error.is_not_sent(), "{error}");
    let mut rest = Vec::new();
    let end = tokio::time::timeout(LIMIT, stream.read_to_end(&mut rest)).await;
    assert!(end.is_ok() && rest.is_empty(), "{end:?}");
}
