//! Guards against clients that end `verbenagapd`, exhaust its memory or descriptors, or keep
//! ordinary callers from being answered, by requests that stop before their end.

mod common;
#[path = "../../net/tests/crowd/mod.rs"]
mod crowd;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use common::{PLANS, USES};
use crowd::{Conduct, MEGABYTE, Machine, Program, Target, alone, ask};

/// Memory of the machine in megabytes, the default of the settings.
const MEMORY_MB: usize = 256;
/// Descriptors that the process may open.
const DESCRIPTORS: usize = 4096;
/// The same on a machine that has few.
const FEW_DESCRIPTORS: usize = 400;
/// Maximum size of a caller's body and of a peer's message in bytes.
const BODY_BYTES: usize = MEGABYTE;
/// Number of the clients that send whole bodies, pieces or large chunks.
const CLIENTS: usize = 350;
/// Number of the clients that send chunks of one byte.
const BYTE_CLIENTS: usize = 24;
/// Size of the body that each of these sends in bytes.
const BYTE_BODY_BYTES: usize = 384 * 1024;
/// Number of the clients that send headers or don't read.
const HEAD_CLIENTS: usize = 1200;
/// Number of the clients that open more connections than a machine with few descriptors has.
const CONNECTIONS: usize = 450;
/// Key of a team.
const KEY: &str = "a-key-for-this-crowd-only";

/// Ports of the processes.
const STORE_PORT: u16 = 20_001;
const HOSTS_PORT: u16 = 20_002;
const CALLER_PORT: u16 = 20_003;
const PEER_PORT: u16 = 20_004;

/// A listener, and what the crowd asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    Callers,
    Peers,
    /// Events and status, on the address for callers.
    Status,
}

/// One entry host and the stand-ins.
struct Site {
    program: Program,
    machine: Machine,
    _standin: Program,
    _dir: tempfile::TempDir,
}

/// Returns an address that no other process uses.
fn addr(port: u16) -> SocketAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, a, b, c], port))
}

fn quiet(program: &str) -> Command {
    let mut command = Command::new(program);
    command.stdout(Stdio::null()).stderr(Stdio::null());
    command
}

impl Site {
    async fn start(descriptors: usize) -> Site {
        let (store, hosts) = (addr(STORE_PORT).to_string(), addr(HOSTS_PORT).to_string());
        let mut standin = quiet(env!("CARGO_BIN_EXE_verbenagap-standin"));
        standin.args(["--store", &store, "--hosts", &hosts, "--pools", "notices,feeds"]);
        standin.args(["--endpoints", "2", "--workers", "1", "--lag-ms", "100"]);
        let standin = Program::start(&mut standin);
        let dir = tempfile::tempdir().unwrap();
        let digest = vg_conf::KeyDigest::of(KEY);
        let plans = PLANS.replacen("keys =", &format!("keys = {digest}"), 1);
        let paths = [dir.path().join("plans.ini"), dir.path().join("uses.ini")];
        std::fs::write(&paths[0], plans).unwrap();
        std::fs::write(&paths[1], USES).unwrap();
        apply_lists(&store, &paths);
        // The shell only sets the limit and becomes the program.
        let mut command = quiet("sh");
        command.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"")]);
        command.arg(env!("CARGO_BIN_EXE_verbenagapd")).args(["--node", "entry-0"]);
        command.args(["--zone", "zone-0", "--store", &store, "--host-list", &hosts]);
        command.args(["--listen", &addr(CALLER_PORT).to_string()]);
        command.args(["--peer-listen", &addr(PEER_PORT).to_string()]);
        let program = Program::start(&mut command);
        let machine = Machine { memory: MEMORY_MB * MEGABYTE, descriptors };
        let site = Site { program, machine, _standin: standin, _dir: dir };
        let until = Instant::now() + Duration::from_secs(40);
        while ask(addr(CALLER_PORT), &ordinary_call()).await != Some(200) {
            assert!(Instant::now() < until, "the entry host does not serve");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        site
    }
}

/// Applies the lists as soon as the store answers.
fn apply_lists(store: &str, paths: &[PathBuf]) {
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        let mut command = quiet(env!("CARGO_BIN_EXE_verbenagap"));
        command.args(["--store", store, "config", "apply", "--base", "0"]).args(paths);
        if command.status().unwrap().success() {
            return;
        }
        assert!(Instant::now() < until, "the lists can't be applied");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn headers() -> String {
    format!("host: x\r\nauthorization: Bearer {KEY}\r\n")
}

fn ordinary_call() -> Vec<u8> {
    let text = format!(
        "POST /v1/queues/feeds/calls HTTP/1.1\r\n{}content-length: 4\r\nconnection: close\r\n\r\n\
         body",
        headers()
    );
    text.into_bytes()
}

fn target(listener: Listener) -> Target {
    let (port, post, get) = match listener {
        Listener::Callers => (CALLER_PORT, "/v1/queues/feeds/calls", "/healthz"),
        Listener::Status => (CALLER_PORT, "/v1/status", "/v1/events"),
        Listener::Peers => (PEER_PORT, "/peer/heartbeat", "/peer/heartbeat"),
    };
    Target {
        addr: addr(port),
        post: post.to_owned(),
        get: get.to_owned(),
        headers: headers(),
        body_bytes: BODY_BYTES,
        reads_bodies: listener != Listener::Status,
    }
}

/// Lets a crowd act on one listener, and sends an ordinary request to it.
async fn endure(listener: Listener, conduct: Conduct) {
    let descriptors = if conduct == Conduct::Connections { FEW_DESCRIPTORS } else { DESCRIPTORS };
    let count = match conduct {
        Conduct::Whole | Conduct::Pieces | Conduct::LargeChunks => CLIENTS,
        Conduct::ByteChunks => BYTE_CLIENTS,
        Conduct::Connections => CONNECTIONS,
        _ => HEAD_CLIENTS,
    };
    let mut site = Site::start(descriptors).await;
    let mut target = target(listener);
    if conduct == Conduct::ByteChunks {
        target.body_bytes = BYTE_BODY_BYTES;
    }
    let (request, status) = match listener {
        Listener::Callers => (ordinary_call(), 200),
        Listener::Status => {
            (b"GET /v1/status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(), 200)
        }
        // The host answers a message that it does not know.
        Listener::Peers => {
            (b"POST /peer/no-such HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(), 404)
        }
    };
    let (machine, addr) = (site.machine, target.addr);
    site.program.endure(machine, &target, (conduct, count), (addr, &request, status)).await;
}

macro_rules! cases {
    ($($name:ident: $listener:ident, $conduct:ident;)+) => {$(
        #[test]
        fn $name() {
            let _alone = alone();
            let runtime = tokio::runtime::Runtime::new().unwrap();
            runtime.block_on(endure(Listener::$listener, Conduct::$conduct));
        }
    )+};
}

cases! {
    unfinished_whole_bodies_of_calls_exhaust_memory: Callers, Whole;
    unfinished_bodies_of_calls_in_pieces_exhaust_memory: Callers, Pieces;
    unfinished_bodies_of_calls_in_large_chunks_exhaust_memory: Callers, LargeChunks;
    unfinished_bodies_of_calls_in_byte_chunks_exhaust_memory: Callers, ByteChunks;
    connections_for_calls_exhaust_descriptors: Callers, Connections;
    endless_headers_of_calls_exhaust_memory: Callers, EndlessHead;
    unread_answers_to_calls_exhaust_memory: Callers, Unread;
    pipelined_calls_exhaust_memory: Callers, Pipelined;
    unfinished_whole_messages_of_entry_hosts_exhaust_memory: Peers, Whole;
    unfinished_messages_of_entry_hosts_in_pieces_exhaust_memory: Peers, Pieces;
    unfinished_messages_of_entry_hosts_in_large_chunks_exhaust_memory: Peers, LargeChunks;
    unfinished_messages_of_entry_hosts_in_byte_chunks_exhaust_memory: Peers, ByteChunks;
    connections_of_entry_hosts_exhaust_descriptors: Peers, Connections;
    endless_headers_of_entry_hosts_exhaust_memory: Peers, EndlessHead;
    unread_answers_to_entry_hosts_exhaust_memory: Peers, Unread;
    pipelined_messages_of_entry_hosts_exhaust_memory: Peers, Pipelined;
    unfinished_whole_bodies_on_status_exhaust_memory: Status, Whole;
    unfinished_bodies_in_pieces_on_status_exhaust_memory: Status, Pieces;
    unfinished_bodies_in_large_chunks_on_status_exhaust_memory: Status, LargeChunks;
    unfinished_bodies_in_byte_chunks_on_status_exhaust_memory: Status, ByteChunks;
    connections_for_status_exhaust_descriptors: Status, Connections;
    endless_headers_on_status_exhaust_memory: Status, EndlessHead;
    unread_events_exhaust_memory: Status, Unread;
    pipelined_requests_for_events_exhaust_memory: Status, Pipelined;
}

/// Guards against a limit that refuses a legal request which is sent in calm.
#[test]
fn whole_call_in_byte_chunks_is_answered_in_calm() {
    let _alone = alone();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let _site = Site::start(DESCRIPTORS).await;
        let target = target(Listener::Callers);
        let request = target.whole_in_byte_chunks(&[b' '; 64 * 1024]);
        assert_eq!(ask(target.addr, &request).await, Some(200));
    });
}
