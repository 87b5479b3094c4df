//! Clients that stop before the end of their requests, and the limits that a process keeps
//! meanwhile. Used by the tests of the programs.
#![allow(dead_code)] // Each test program uses only some of the helpers.
#![allow(clippy::print_stdout)] // The figures of a run, shown with `--nocapture`.

use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Time after which a client of the crowd that can't send goes on to wait.
const SEND_LIMIT: Duration = Duration::from_secs(20);
/// Time after which an ordinary request counts as not answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Time within which the process must have used what the crowd sent.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
/// Processor time of a process is compared in this interval.
const SETTLE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Size of a large chunk in bytes.
const LARGE_CHUNK_BYTES: usize = 16 * 1024;
/// Size of a piece that is written at once in bytes.
const PIECE_BYTES: usize = 1400;
/// Number of requests that a client sends without reading an answer.
const PIPELINED_REQUESTS: usize = 60;
/// Bytes of a body that a client sends if only its connection matters.
const SHORT_BODY_BYTES: usize = 1000;
/// Bytes of a megabyte.
pub(crate) const MEGABYTE: usize = 1024 * 1024;

/// The tests of a program that share a machine run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Returns when no other test of this program runs, until the guard is dropped.
pub(crate) fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How the clients of a crowd send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Conduct {
    /// A body with its length, at once, but for the last byte.
    Whole,
    /// The same in pieces.
    Pieces,
    /// Large chunks, but for the last byte and the end.
    LargeChunks,
    /// Chunks of one byte, but for the last byte and the end.
    ByteChunks,
    /// The first bytes of a body, or of the headers where no body is read; the number of
    /// connections matters.
    Connections,
    /// Headers without their end.
    EndlessHead,
    /// One request whose answer is never read.
    Unread,
    /// Many requests at once whose answers are never read.
    Pipelined,
}

/// Where the requests of a crowd go.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    /// Address of the listener.
    pub(crate) addr: SocketAddr,
    /// Path of requests with a body.
    pub(crate) post: String,
    /// Path of requests without a body.
    pub(crate) get: String,
    /// Header lines, each with its line break.
    pub(crate) headers: String,
    /// Length of a body in bytes.
    pub(crate) body_bytes: usize,
    /// Whether the bodies of requests are read.
    pub(crate) reads_bodies: bool,
}

impl Target {
    fn head(&self, framing: &str) -> Vec<u8> {
        format!("POST {} HTTP/1.1\r\n{}{framing}\r\n\r\n", self.post, self.headers).into_bytes()
    }

    /// Returns what a client sends.
    fn request(&self, conduct: Conduct) -> Vec<u8> {
        let sized = format!("content-length: {}", self.body_bytes);
        let sent = self.body_bytes - 1;
        let get = format!("GET {} HTTP/1.1\r\n{}\r\n", self.get, self.headers);
        match conduct {
            Conduct::Whole | Conduct::Pieces => [self.head(&sized), vec![b' '; sent]].concat(),
            Conduct::Connections if !self.reads_bodies => get[..get.len() - 2].into(),
            Conduct::Connections => {
                [self.head(&sized), vec![b' '; SHORT_BODY_BYTES.min(sent)]].concat()
            }
            Conduct::LargeChunks => self.chunked(sent, LARGE_CHUNK_BYTES),
            Conduct::ByteChunks => self.chunked(sent, 1),
            Conduct::EndlessHead => {
                let fields: String =
                    (0..56).map(|i| format!("x-{i}: {}\r\n", "y".repeat(128))).collect();
                format!("GET {} HTTP/1.1\r\n{}{fields}", self.get, self.headers).into_bytes()
            }
            Conduct::Unread => get.into_bytes(),
            Conduct::Pipelined => get.repeat(PIPELINED_REQUESTS).into_bytes(),
        }
    }

    fn chunked(&self, bytes: usize, chunk: usize) -> Vec<u8> {
        let mut text = self.head("transfer-encoding: chunked");
        let mut left = bytes;
        while left > 0 {
            let size = chunk.min(left);
            text.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            text.resize(text.len() + size, b' ');
            text.extend_from_slice(b"\r\n");
            left -= size;
        }
        text
    }

    /// Returns a whole request with the given body in chunks of one byte.
    pub(crate) fn whole_in_byte_chunks(&self, body: &[u8]) -> Vec<u8> {
        let mut text = self.head("connection: close\r\ntransfer-encoding: chunked");
        for &byte in body {
            text.extend_from_slice(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']);
        }
        text.extend_from_slice(b"0\r\n\r\n");
        text
    }
}

/// Clients that have sent all that they send and keep their connections open.
#[derive(Debug)]
pub(crate) struct Crowd {
    _open: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `count` clients and lets each send. One that is refused or whose
    /// connection is closed does not try again.
    pub(crate) async fn gather(target: &Target, conduct: Conduct, count: usize) -> Crowd {
        let request = Arc::new(target.request(conduct));
        let piece = if conduct == Conduct::Pieces { PIECE_BYTES } else { usize::MAX };
        let addr = target.addr;
        let clients: Vec<_> = (0..count)
            .map(|_| tokio::spawn(send_and_stay(addr, Arc::clone(&request), piece)))
            .collect();
        let mut open = Vec::new();
        for client in clients {
            open.extend(client.await.unwrap());
        }
        Crowd { _open: open }
    }
}

async fn send_and_stay(addr: SocketAddr, request: Arc<Vec<u8>>, piece: usize) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    // A client that doesn't read has little room for answers.
    socket.set_recv_buffer_size(4096).ok()?;
    let connected = tokio::time::timeout(SEND_LIMIT, socket.connect(addr)).await;
    let mut stream = connected.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let send = async {
        for bytes in request.chunks(piece.min(request.len())) {
            if stream.write_all(bytes).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    // A client whose bytes are not taken keeps its connection open, too.
    let _ = tokio::time::timeout(SEND_LIMIT, send).await;
    Some(stream)
}

/// Sends a request on a connection of its own and returns the status of the answer.
pub(crate) async fn ask(addr: SocketAddr, request: &[u8]) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(request).await.ok()?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.ok()?;
        std::str::from_utf8(&answer[9..]).ok()?.parse().ok()
    };
    tokio::time::timeout(ANSWER_LIMIT, exchange).await.ok()?
}

/// The limits of the machine that a process runs on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Machine {
    /// Memory in bytes.
    pub(crate) memory: usize,
    /// Number of descriptors.
    pub(crate) descriptors: usize,
}

/// A process of the system, killed when this is dropped.
#[derive(Debug)]
pub(crate) struct Program {
    child: Child,
    peak: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
}

impl Program {
    /// Starts a program and counts its descriptors.
    pub(crate) fn start(command: &mut Command) -> Program {
        let child = command.spawn().unwrap();
        let (peak, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let path = format!("/proc/{}/fd", child.id());
        let (highest, stop) = (Arc::clone(&peak), Arc::clone(&ended));
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let count = std::fs::read_dir(&path).map_or(0, Iterator::count);
                highest.fetch_max(count, Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Program { child, peak, ended }
    }

    fn read_proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    /// Returns the most memory that the process had in use, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let status = self.read_proc("status");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
        kilobytes.unwrap_or(usize::MAX / 1024) * 1024
    }

    fn processor_ticks(&self) -> usize {
        let stat = self.read_proc("stat");
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<usize>().ok()).sum()
    }

    /// Waits until the process is at rest.
    async fn settle(&self) {
        let until = Instant::now() + SETTLE_LIMIT;
        let mut ticks = self.processor_ticks();
        while Instant::now() < until {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            let now = self.processor_ticks();
            if now <= ticks + 2 {
                return;
            }
            ticks = now;
        }
    }

    /// Gathers a crowd and checks that the process lives, that its memory and descriptors
    /// stayed within those of its machine, and that an ordinary request is answered as
    /// expected while the crowd is there.
    pub(crate) async fn endure(
        &mut self,
        machine: Machine,
        target: &Target,
        (conduct, count): (Conduct, usize),
        ordinary: (SocketAddr, &[u8], u16),
    ) {
        let before = self.peak_memory();
        let crowd = Crowd::gather(target, conduct, count).await;
        self.settle().await;
        let (addr, request, expected) = ordinary;
        let status = ask(addr, request).await;
        let (memory, descriptors) = (self.peak_memory(), self.peak.load(Ordering::Relaxed));
        drop(crowd);
        let ended = self.child.try_wait().unwrap();
        let seen = format!(
            "{conduct:?} x {count}: memory {} MB before, {} of {} MB, descriptors {descriptors} \
             of {}, ordinary request {status:?}",
            before / MEGABYTE,
            memory / MEGABYTE,
            machine.memory / MEGABYTE,
            machine.descriptors,
        );
        println!("{seen}");
        assert!(ended.is_none(), "the process ended: {ended:?}: {seen}");
        assert!(memory <= machine.memory, "too much memory: {seen}");
        assert!(descriptors <= machine.descriptors, "too many descriptors: {seen}");
        assert_eq!(status, Some(expected), "an ordinary request was not answered: {seen}");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
