//! The gateway's adapter against scripted connections: exact messages, and
//! which error each way to fail stands for.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use vg_store::{
    Entry, Error, EtcdSettings, EtcdStore, Key, LeaseId, Store, StoreRevision, Txn, TxnOutcome,
    Watch,
};

/// What a scripted server does with one request.
#[derive(Clone)]
enum Act {
    /// Answers and closes.
    Answer(u16, String),
    /// Sends the start of an answer and closes.
    Part(String),
    /// Sends the start of an answer and keeps the connection open.
    Stream(String),
    /// Sends the start of an answer in small pieces.
    Pieces(String),
    /// Closes without an answer.
    Close,
    /// Keeps the connection open without an answer.
    Hang,
}

/// Path and body of a received request.
type Received = (String, Value);

struct Server {
    addr: SocketAddr,
    received: mpsc::UnboundedReceiver<Received>,
}

/// Serves one connection for each act.
async fn server(acts: Vec<Act>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut open = Vec::new();
        for act in acts {
            let (mut socket, _) = listener.accept().await.unwrap();
            sender.send(read_request(&mut socket).await).unwrap();
            match act {
                Act::Answer(status, body) => {
                    let length = body.len();
                    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n");
                    let answer = format!("{head}connection: close\r\n\r\n{body}");
                    socket.write_all(answer.as_bytes()).await.unwrap();
                }
                Act::Part(body) => {
                    let head = "HTTP/1.1 200 X\r\ncontent-length: 100000\r\n\r\n";
                    socket.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
                }
                Act::Stream(body) => {
                    // Ends with the connection, as it has no length.
                    let head = "HTTP/1.1 200 X\r\n\r\n";
                    socket.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
                    open.push(socket);
                }
                Act::Pieces(body) => {
                    socket.set_nodelay(true).unwrap();
                    socket.write_all(b"HTTP/1.1 200 X\r\n\r\n").await.unwrap();
                    for piece in body.as_bytes().chunks(5) {
                        socket.write_all(piece).await.unwrap();
                        tokio::task::yield_now().await;
                    }
                    open.push(socket);
                }
                Act::Close => {}
                Act::Hang => open.push(socket),
            }
        }
        std::future::pending::<()>().await;
    });
    Server { addr, received }
}

async fn read_request(socket: &mut TcpStream) -> Received {
    let mut bytes = Vec::new();
    loop {
        bytes.push(socket.read_u8().await.unwrap());
        if bytes.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(bytes).unwrap().to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    socket.read_exact(&mut body).await.unwrap();
    let path = head.split(' ').nth(1).unwrap().to_owned();
    (path, serde_json::from_slice(&body).unwrap())
}

fn store(endpoints: Vec<SocketAddr>) -> EtcdStore {
    EtcdStore::new(EtcdSettings {
        call_timeout: Duration::from_millis(600),
        watch_idle: Duration::from_millis(100),
        ..EtcdSettings::new(endpoints)
    })
}

async fn one(act: Act) -> (EtcdStore, Server) {
    let server = server(vec![act]).await;
    (store(vec![server.addr]), server)
}

fn key() -> Key {
    Key::from("foo")
}

fn swap() -> Txn {
    Txn::new()
        .expect("foo", Some(StoreRevision(7)))
        .put_leased("foo", "bar", LeaseId(9))
        .delete("x")
}

/// An address where nothing listens.
async fn dead() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

fn etcd_error(code: u32, message: &str) -> String {
    json!({"error": message, "code": code, "message": message}).to_string()
}

#[tokio::test]
async fn a_read_is_posted_and_understood_as_published() {
    let answer = r#"{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"2","raft_term":"3"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy","lease":"9"}],"count":"1"}"#;
    let (store, mut server) = one(Act::Answer(200, answer.to_owned())).await;
    let listing = store.range(&key()).await.unwrap();
    let entry = Entry {
        key: key(),
        value: "bar".into(),
        modified: StoreRevision(2),
        lease: Some(LeaseId(9)),
    };
    assert_eq!((listing.revision, listing.entries), (StoreRevision(2), vec![entry]));
    let (path, body) = server.received.recv().await.unwrap();
    assert_eq!(path, "/v3/kv/range");
    assert_eq!(body, json!({"key": "Zm9v", "range_end": "Zm9w"}));
}

#[tokio::test]
async fn a_transaction_is_posted_and_understood_as_published() {
    let answer = r#"{"header":{"revision":"12"},"responses":[{"response_range":{"header":{"revision":"12"},"kvs":[{"key":"Zm9v","mod_revision":"8","value":"YmF6"}],"count":"1"}}]}"#;
    let (store, mut server) = one(Act::Answer(200, answer.to_owned())).await;
    let TxnOutcome::Conflict { found } = store.commit(swap()).await.unwrap() else {
        panic!("not understood as a conflict");
    };
    assert_eq!((found[0].modified, found[0].value.as_ref()), (StoreRevision(8), &b"baz"[..]));
    let (path, body) = server.received.recv().await.unwrap();
    assert_eq!(path, "/v3/kv/txn");
    let expected = json!({
        "compare": [{"result": "EQUAL", "target": "MOD", "key": "Zm9v", "mod_revision": "7"}],
        "success": [
            {"request_put": {"key": "Zm9v", "value": "YmFy", "lease": "9"}},
            {"request_delete_range": {"key": "eA=="}},
        ],
        "failure": [{"request_range": {"key": "Zm9v"}}],
    });
    assert_eq!(body, expected);
    let done = r#"{"header":{"revision":"12"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"12"}}}]}"#;
    let (store, _server) = one(Act::Answer(200, done.to_owned())).await;
    let outcome = store.commit(swap()).await.unwrap();
    assert_eq!(outcome, TxnOutcome::Committed { revision: StoreRevision(12) });
}

#[tokio::test]
async fn leases_are_posted_and_understood_as_published() {
    let granted = r#"{"header":{"revision":"2"},"ID":"7587848390689298446","TTL":"2"}"#;
    let (store, mut server) = one(Act::Answer(200, granted.to_owned())).await;
    // Rounded up: the store must not end the lease before its holder does.
    let lease = store.grant(Duration::from_millis(1_001)).await.unwrap();
    assert_eq!(lease, LeaseId(7_587_848_390_689_298_446));
    assert_eq!(
        server.received.recv().await.unwrap(),
        ("/v3/lease/grant".to_owned(), json!({"TTL": "2"}))
    );
    let renewed = "{\"result\":{\"header\":{\"revision\":\"2\"},\"ID\":\"5\",\"TTL\":\"2\"}}\n";
    let (store, _server) = one(Act::Answer(200, renewed.to_owned())).await;
    assert_eq!(store.renew(lease).await, Ok(Duration::from_secs(2)));
    let lapsed = r#"{"result":{"header":{"revision":"2"},"ID":"5"}}"#;
    let (store, _server) = one(Act::Answer(200, lapsed.to_owned())).await;
    assert_eq!(store.renew(lease).await, Err(Error::LeaseExpired));
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    let store = store(vec![dead().await, dead().await]);
    let error = store.commit(swap()).await.unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }) && error.had_no_effect(), "{error}");
    let error = store.grant(Duration::from_secs(1)).await.unwrap_err();
    assert!(error.had_no_effect(), "{error}");
}

#[tokio::test]
async fn the_next_address_is_tried_only_while_none_was_connected_to() {
    let answer = r#"{"header":{"revision":"3"},"succeeded":true}"#;
    let server_after = server(vec![Act::Answer(200, answer.to_owned())]).await;
    let first = store(vec![dead().await, server_after.addr]);
    assert!(matches!(first.commit(swap()).await, Ok(TxnOutcome::Committed { .. })));

    let (mut closing, mut spare) = (server(vec![Act::Close]).await, server(vec![Act::Close]).await);
    let second = store(vec![closing.addr, spare.addr]);
    assert!(matches!(second.commit(swap()).await, Err(Error::AnswerLost { .. })));
    assert!(closing.received.try_recv().is_ok());
    assert!(spare.received.try_recv().is_err(), "a write in doubt was sent again");
}

#[tokio::test]
async fn a_write_without_a_whole_answer_is_in_doubt_and_a_read_is_not() {
    let cut = r#"{"header":{"revision":"12"},"succ"#.to_owned();
    let gateway = Act::Answer(502, "bad gateway".to_owned());
    for act in [Act::Close, Act::Hang, Act::Part(cut), gateway] {
        let server = server(vec![act.clone(), act.clone(), act.clone(), act]).await;
        let store = store(vec![server.addr]);
        assert!(matches!(store.commit(swap()).await, Err(Error::AnswerLost { .. })));
        assert!(matches!(store.renew(LeaseId(1)).await, Err(Error::AnswerLost { .. })));
        assert!(matches!(store.get(&key()).await, Err(Error::Unavailable { .. })));
        let watch = store.watch(&key(), StoreRevision(1)).await;
        assert!(matches!(watch, Err(Error::Unavailable { .. })));
    }
}

#[tokio::test]
async fn status_codes_prove_no_effect_only_where_the_service_had_none() {
    let cases = [
        (3, "etcdserver: request is too large", true),
        (5, "etcdserver: requested lease not found", true),
        (8, "etcdserver: too many requests", true),
        // The write that reaches the quota takes effect.
        (8, "etcdserver: mvcc: database space exceeded", false),
        // Also told of a proposal that may still be applied.
        (14, "etcdserver: request timed out", false),
        (2, "unknown", false),
    ];
    for (code, message, without) in cases {
        let (store, _server) = one(Act::Answer(500, etcd_error(code, message))).await;
        let error = store.commit(swap()).await.unwrap_err();
        assert_eq!(error.had_no_effect(), without, "{code}: {error}");
        assert_eq!(error == Error::LeaseExpired, code == 5);
    }
}

#[tokio::test]
async fn an_answer_that_is_no_message_is_not_taken_for_one() {
    // Each of them has all the fields that an answer must have but for the head.
    for body in ["[]", "{}", "null", "<html>", "{\"result\":{}}"] {
        let act = Act::Answer(200, body.to_owned());
        let server = server(vec![act.clone(), act.clone(), act.clone(), act]).await;
        let store = store(vec![server.addr]);
        let error = store.commit(swap()).await.unwrap_err();
        assert!(matches!(error, Error::Malformed { .. }) && !error.had_no_effect(), "{body}");
        assert!(matches!(store.range(&key()).await, Err(Error::Malformed { .. })), "{body}");
        assert!(matches!(store.renew(LeaseId(1)).await, Err(Error::Malformed { .. })), "{body}");
        assert!(matches!(store.revoke(LeaseId(1)).await, Err(Error::Malformed { .. })), "{body}");
    }
    let many = "x".repeat(3 * 1024 * 1024);
    let (store, _server) = one(Act::Answer(200, many)).await;
    assert!(matches!(store.get(&key()).await, Err(Error::Unavailable { .. })));
}

const CREATED: &str = "{\"result\":{\"header\":{\"revision\":\"5\"},\"created\":true}}\n";

#[tokio::test]
async fn a_watch_is_posted_and_understood_as_published() {
    let events = r#"{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"Zm9v","mod_revision":"6","value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9vYg==","mod_revision":"7"}}]}}"#;
    let progress = r#"{"result":{"header":{"revision":"11"}}}"#;
    let stream = format!("{CREATED}\n{events}\n{progress}\n");
    let (store, mut server) = one(Act::Pieces(stream)).await;
    let mut watch = store.watch(&key(), StoreRevision(6)).await.unwrap();
    let batch = watch.next().await.unwrap();
    // The header runs ahead of a watch that catches up.
    assert_eq!(batch.revision, StoreRevision(7));
    assert_eq!(batch.changes[0].1.as_ref().unwrap().value, "bar");
    assert_eq!(batch.changes[1], (Key::from("foob"), None));
    let batch = watch.next().await.unwrap();
    assert_eq!((batch.revision, batch.changes.len()), (StoreRevision(11), 0));
    let (path, body) = server.received.recv().await.unwrap();
    assert_eq!(path, "/v3/watch");
    let create =
        json!({"key": "Zm9v", "range_end": "Zm9w", "start_revision": "6", "progress_notify": true});
    assert_eq!(body, json!({ "create_request": create }));
}

#[tokio::test]
async fn an_ended_watch_tells_why() {
    let compacted = "{\"result\":{\"canceled\":true,\"compact_revision\":\"40\"}}\n";
    let denied = "{\"result\":{\"canceled\":true,\"cancel_reason\":\"denied\"}}\n";
    let error = "{\"error\":{\"grpc_code\":14,\"http_code\":503,\"message\":\"no leader\"}}\n";
    for (line, oldest) in [(compacted, Some(40)), (denied, None), (error, None), ("{\"res", None)] {
        let (store, _server) = one(Act::Part(format!("{CREATED}{line}"))).await;
        let mut watch = store.watch(&key(), StoreRevision(6)).await.unwrap();
        match (watch.next().await.unwrap_err(), oldest) {
            (Error::Compacted { oldest }, Some(expected)) => assert_eq!(oldest.0, expected),
            (Error::Unavailable { .. }, None) => {}
            (other, _) => panic!("{line}: {other}"),
        }
    }
}

#[tokio::test]
async fn an_idle_watch_is_opened_anew_where_it_was() {
    let events = r#"{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"Zm9v","mod_revision":"8","value":"YmFy"}}]}}"#;
    let mut server = server(vec![
        Act::Stream(format!("{CREATED}{events}\n")),
        Act::Stream(format!("{CREATED}{}\n", events.replace('8', "9"))),
    ])
    .await;
    let store = store(vec![server.addr]);
    let mut watch = store.watch(&key(), StoreRevision(6)).await.unwrap();
    assert_eq!(watch.next().await.unwrap().revision, StoreRevision(8));
    assert_eq!(watch.next().await.unwrap().revision, StoreRevision(9));
    let mut starts = Vec::new();
    while let Ok((_, body)) = server.received.try_recv() {
        starts.push(body["create_request"]["start_revision"].clone());
    }
    assert_eq!(starts, ["6", "9"]);
}
