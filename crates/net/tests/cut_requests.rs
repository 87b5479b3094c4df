//! Tests of requests whose connection ends before the answer: each is written at most once, and
//! none of which a byte was written counts as not sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use vg_net::{Client, Error, full_body};

/// Length of a request that the system doesn't take at once.
const LONG_BODY: usize = 8 << 20;
const LIMIT: Duration = Duration::from_secs(5);
const MAX_BYTES: usize = 1024;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// When a connection ends that has brought a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Point {
    /// Its first bytes have arrived, and none was read.
    Unread,
    /// Its head was read, and a part of its body.
    Partial,
    /// It was read.
    Complete,
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// A server that answers the first requests of each connection and ends it at the next one.
struct Server {
    /// Number of requests that a connection answers.
    answered: usize,
    end: (Point, End),
    /// How often the bytes of each request arrived, by its path.
    seen: Mutex<HashMap<String, usize>>,
}

impl Server {
    async fn start(answered: usize, end: (Point, End)) -> (SocketAddr, Arc<Server>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Arc::new(Server { answered, end, seen: Mutex::default() });
        let accepting = Arc::clone(&server);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(Arc::clone(&accepting).serve(stream));
            }
        });
        (addr, server)
    }

    async fn serve(self: Arc<Server>, mut stream: TcpStream) {
        for _ in 0..self.answered {
            let Some(path) = read_request(&mut stream, Point::Complete).await else { return };
            self.note(path);
            stream.write_all(ANSWER).await.unwrap();
        }
        let (point, end) = self.end;
        let Some(path) = read_request(&mut stream, point).await else { return };
        self.note(path);
        if end == End::Reset {
            stream.set_zero_linger().unwrap();
        }
    }

    fn note(&self, path: String) {
        *self.seen.lock().unwrap().entry(path).or_default() += 1;
    }

    fn seen(&self, path: &str) -> usize {
        self.seen.lock().unwrap().get(path).copied().unwrap_or_default()
    }
}

/// Reads a request up to a point. Returns its path; `None` if the connection ended before.
async fn read_request(stream: &mut TcpStream, until: Point) -> Option<String> {
    let mut read = vec![0; 64];
    if until == Point::Unread {
        let count = stream.peek(&mut read).await.ok().filter(|count| *count > 0)?;
        return path_of(&read[..count]);
    }
    read.clear();
    loop {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        read.extend_from_slice(&buffer[..count]);
        let head = read.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let Some(head) = head else { continue };
        if until == Point::Partial || read.len() - head - 4 >= length_of(&read[..head]) {
            return path_of(&read);
        }
    }
}

fn path_of(request: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(request);
    text.split(' ').nth(1).map(str::to_owned)
}

fn length_of(head: &[u8]) -> usize {
    let head = String::from_utf8_lossy(head).to_lowercase();
    let lines = head.lines().filter_map(|line| line.strip_prefix("content-length:"));
    lines.map(|length| length.trim().parse::<usize>().unwrap()).sum()
}

async fn post(client: &Client, addr: SocketAddr, path: &str, body: usize) -> Result<(), Error> {
    let request = Request::post(format!("http://{addr}{path}"));
    let request = request.body(full_body(vec![b'x'; body])).unwrap();
    client.call(request, LIMIT, MAX_BYTES).await.map(drop)
}

/// Guards against a start that counts as not sent, or is sent twice, although its worker has
/// received it: its connection, a new one or one that was used before, ends at any point.
#[tokio::test]
async fn a_request_whose_connection_ends_is_written_once_and_not_taken_for_unsent() {
    for point in [Point::Unread, Point::Partial, Point::Complete] {
        for end in [End::Close, End::Reset] {
            for answered in [0, 1] {
                for body in [0, 100, LONG_BODY] {
                    let case = format!("{point:?} {end:?} after {answered}, {body} bytes");
                    let (addr, server) = Server::start(answered, (point, end)).await;
                    let client = Client::default();
                    for number in 0..answered {
                        let path = format!("/before/{number}");
                        post(&client, addr, &path, 10).await.unwrap();
                    }
                    let error = post(&client, addr, "/cut", body).await.unwrap_err();
                    assert!(!error.is_not_sent() && !error.is_refused(), "{case}: {error}");
                    assert_eq!(server.seen("/cut"), 1, "{case}: {error}");
                }
            }
        }
    }
}

/// Guards against the same where the server ends connections that are unused just as the next
/// request is sent.
#[tokio::test]
async fn a_request_that_meets_the_end_of_an_unused_connection_is_received_once_at_most() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let seen: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let noted = Arc::clone(&seen);
    tokio::spawn(async move {
        for number in 0_u64.. {
            let (mut stream, _) = listener.accept().await.unwrap();
            let noted = Arc::clone(&noted);
            tokio::spawn(async move {
                let Some(path) = read_request(&mut stream, Point::Complete).await else { return };
                *noted.lock().unwrap().entry(path).or_default() += 1;
                stream.write_all(ANSWER).await.unwrap();
                tokio::time::sleep(Duration::from_micros(number * 37 % 1500)).await;
                // What has arrived meanwhile may have been carried out.
                let mut arrived = [0; 64];
                if let Ok(count) = stream.try_read(&mut arrived)
                    && let Some(path) = path_of(&arrived[..count])
                {
                    *noted.lock().unwrap().entry(path).or_default() += 1;
                }
                if number.is_multiple_of(2) {
                    stream.set_zero_linger().unwrap();
                }
            });
        }
    });
    let client = Client::default();
    let mut broken = 0;
    for number in 0_u64..600 {
        let path = format!("/{number}");
        let answer = post(&client, addr, &path, 10).await;
        let received = seen.lock().unwrap().get(&path).copied().unwrap_or_default();
        match answer {
            Ok(()) => assert_eq!(received, 1, "{path}"),
            Err(error) => {
                assert!(received <= 1 && !error.is_not_sent(), "{path}: {error}, {received}");
                broken += 1;
            }
        }
        tokio::time::sleep(Duration::from_micros(number * 53 % 1300)).await;
    }
    assert!(broken < 600);
}
