//! Workers that start again under their name and address while jobs run on them.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use common::{eventually, name, small_site};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use verbenagap::site::Caller;
use vg_base::prelude::*;

/// Incarnation before the restart: higher than those of the workers that it replaces.
const EARLIER: u64 = 1 << 52;

/// What the workers of a pool have done. They start again when the first job has begun on one
/// of them, before its start is answered.
#[derive(Debug, Default)]
struct Lives {
    starts: usize,
    queries: usize,
}

impl Lives {
    /// Answers a request: the status and the body, or nothing.
    fn answer(&mut self, path: &str, body: &Value) -> Option<(u16, Value)> {
        if path == "/lease" {
            // Only answers to queries come from the later life in time.
            return (self.starts == 0).then(|| (200, lease(EARLIER)));
        }
        if path == "/tasks" {
            self.starts += 1;
            return None;
        }
        if path.ends_with("/query") {
            self.queries += 1;
        }
        Some(match body["incarnation"].is_null() {
            true => (404, json!({"code": "no-task"})),
            false => (409, json!({"code": "other-incarnation"})),
        })
    }
}

fn lease(incarnation: u64) -> Value {
    let capacity = json!({"cores": 32, "memory": 65_536, "accelerators": 0});
    let usage = json!({"cores": 0, "memory": 0, "accelerators": 0});
    json!({"incarnation": incarnation, "capacity": capacity, "usage": usage, "tasks": []})
}

/// Serves the requests to a worker, one on each connection.
async fn serve(addr: SocketAddr, lives: Arc<Mutex<Lives>>) {
    let listener = TcpListener::bind(addr).await.unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(exchange(stream, Arc::clone(&lives)));
    }
}

/// Reads one request and answers it, or closes the connection.
async fn exchange(stream: TcpStream, lives: Arc<Mutex<Lives>>) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let (mut path, mut length, mut line) = (String::new(), 0, String::new());
    while stream.read_line(&mut line).await.ok()? > 2 {
        let lower = line.to_ascii_lowercase();
        if path.is_empty() {
            path = line.split(' ').nth(1)?.to_owned();
        } else if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        line.clear();
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let body = serde_json::from_slice(&body).unwrap_or_default();
    let (status, body) = lives.lock().unwrap().answer(&path, &body)?;
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} status\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).await.ok()
}

/// Submits a job that must not run twice, again if it is known not to have been accepted.
async fn submit(caller: &Caller) -> String {
    let deadline = Instant::now() + common::WAIT_TIMEOUT;
    loop {
        let answer = caller.submit("urgent", Duration::from_secs(1), None).await;
        if answer.status.is_some_and(|status| status == 202) {
            let body: Value = serde_json::from_slice(&answer.body).unwrap();
            return body["id"].as_str().unwrap().to_owned();
        }
        let may_repeat = answer.outcome == Outcome::NotRun;
        assert!(may_repeat && Instant::now() < deadline, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a job that must not run twice and does: its start has no answer, and the next
/// process of the worker says that it doesn't know the attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_began_in_an_earlier_life_of_its_worker_does_not_begin_again() {
    let mut site = small_site().await;
    let lives = Arc::new(Mutex::new(Lives::default()));
    let workers: Vec<HostId> = site.workers().keys().cloned().collect();
    for worker in workers.iter().filter(|worker| worker.as_str().starts_with("notices")) {
        let worker = site.take_worker(worker).unwrap();
        let addr = worker.addr();
        worker.kill().await;
        tokio::spawn(serve(addr, Arc::clone(&lives)));
    }
    let caller = site.caller(&name("dairy"));
    let id = submit(&caller).await;
    eventually("the worker is asked for the attempt", || lives.lock().unwrap().queries > 0).await;
    let deadline = Instant::now() + common::WAIT_TIMEOUT;
    loop {
        let status = caller.job_status(&id, 1).await;
        let status: Value = serde_json::from_slice(&status.body).unwrap_or_default();
        assert_eq!(lives.lock().unwrap().starts, 1, "{status}");
        if status["ended"] == true {
            assert_eq!(status["state"], "unknown");
            break;
        }
        assert!(Instant::now() < deadline, "{id} does not end: {status}");
    }
}
