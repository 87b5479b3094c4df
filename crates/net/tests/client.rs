//! Tests of what the client writes to its connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use futures_util::join;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
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

/// Guards against a command that is delivered after its call was given up, when a partition
/// ends: a usual close lets the system go on sending.
#[tokio::test]
async fn a_call_that_is_given_up_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let client = Client::default();
    let call = tokio::spawn(async move { post(&client, addr, SHORT).await });
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(call.await.unwrap().is_err());
    let read = tokio::time::timeout(LIMIT, async {
        loop {
            match stream.read(&mut [0; 1024]).await {
                Ok(count) if count > 0 => {}
                end => return end,
            }
        }
    });
    let end = read.await.unwrap();
    assert_eq!(end.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}

/// A server whose connections that are open fall silent, while new ones work.
struct Silencer {
    /// Connections that were opened.
    opened: AtomicUsize,
    /// Requests that were read.
    received: AtomicUsize,
    /// Connections up to this number answer no request.
    silent: AtomicUsize,
    /// Requests that are still to be left without an answer, on any connection.
    lost: AtomicUsize,
    /// Whether requests are answered now, or held until they are.
    answers: watch::Sender<bool>,
}

impl Silencer {
    async fn start() -> (SocketAddr, Arc<Silencer>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let silencer = Arc::new(Silencer {
            opened: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            silent: AtomicUsize::new(0),
            lost: AtomicUsize::new(0),
            answers: watch::Sender::new(true),
        });
        tokio::spawn(Arc::clone(&silencer).accept(listener));
        (addr, silencer)
    }

    async fn accept(self: Arc<Silencer>, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let number = self.opened.fetch_add(1, Ordering::SeqCst) + 1;
            tokio::spawn(Arc::clone(&self).serve(stream, number));
        }
    }

    async fn serve(self: Arc<Silencer>, mut stream: TcpStream, number: usize) {
        while read_request(&mut stream).await {
            self.received.fetch_add(1, Ordering::SeqCst);
            let lost = self
                .lost
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
            let _ = self.answers.subscribe().wait_for(|answers| *answers).await;
            if lost.is_err() && number > self.silent.load(Ordering::SeqCst) {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer).await.unwrap();
            }
        }
    }

    /// Makes all connections silent that are open.
    fn silence(&self) {
        self.silent.store(self.opened(), Ordering::SeqCst);
    }

    fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }

    /// Makes `count` calls at once, so that each has a connection of its own, which waits for
    /// another request afterwards.
    async fn use_connections(&self, client: &Client, addr: SocketAddr, count: usize) {
        self.answers.send_replace(false);
        let awaited = self.received.load(Ordering::SeqCst) + count;
        let calls = (0..count).map(|_| post(client, addr, LIMIT));
        let all_received = async {
            while self.received.load(Ordering::SeqCst) < awaited {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            self.answers.send_replace(true);
        };
        let (results, ()) = join!(join_all(calls), all_received);
        results.into_iter().for_each(Result::unwrap);
    }
}

/// Time limit of calls that get no answer.
const SHORT: Duration = Duration::from_millis(200);

/// Guards against calls that try one silent connection after the other, each for its whole
/// time limit, although a new one would work.
#[tokio::test]
async fn after_one_call_without_an_answer_the_next_uses_a_new_connection() {
    let (addr, server) = Silencer::start().await;
    let client = Client::default();
    server.use_connections(&client, addr, 12).await;
    for round in 0..3 {
        server.silence();
        let silent = post(&client, addr, SHORT).await;
        assert!(matches!(silent, Err(Error::Timeout { .. })), "round {round}: {silent:?}");
        server.use_connections(&client, addr, 6).await;
    }
}

/// Guards against new connections that are left behind because calls over the silent ones
/// fail one after the other.
#[tokio::test]
async fn calls_that_fail_over_silent_connections_leave_new_ones_alone() {
    let (addr, server) = Silencer::start().await;
    let client = Client::default();
    server.use_connections(&client, addr, 12).await;
    server.silence();
    let long = async {
        let calls = (0..3).map(|_| post(&client, addr, 10 * SHORT));
        join_all(calls).await
    };
    let short = async {
        assert!(post(&client, addr, SHORT).await.is_err());
        post(&client, addr, LIMIT).await.unwrap();
        server.opened()
    };
    let (failed, opened) = join!(long, short);
    assert!(failed.iter().all(Result::is_err), "{failed:?}");
    post(&client, addr, LIMIT).await.unwrap();
    assert_eq!(server.opened(), opened, "a connection that works is used again");
}

/// Guards against a server that leaves one request without an answer and loses all its
/// connections for it.
#[tokio::test]
async fn a_lost_answer_closes_no_connection_while_others_bring_answers() {
    let (addr, server) = Silencer::start().await;
    let client = Client::default();
    server.use_connections(&client, addr, 4).await;
    let opened = server.opened();
    server.lost.store(1, Ordering::SeqCst);
    let lost = post(&client, addr, 10 * SHORT);
    let other = async {
        while server.lost.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        post(&client, addr, LIMIT).await
    };
    let (lost, other) = join!(lost, other);
    assert!(lost.is_err() && other.is_ok(), "{lost:?} {other:?}");
    server.use_connections(&client, addr, 3).await;
    assert_eq!(server.opened(), opened);
}
