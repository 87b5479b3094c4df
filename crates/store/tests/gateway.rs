//! Tests of the gateway adapter against a scripted server: the exact messages, and the error
//! for each kind of failure.

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

/// The reaction of the scripted server to one request.
#[derive(Clone)]
enum ServerAction {
    /// Answers and closes the connection.
    Answer(u16, String),
    /// Sends the start of an answer and closes the connection.
    Part(String),
    /// Sends the start of an answer and keeps the connection open.
    Stream(String),
    /// Sends the start of an answer in small pieces.
    Pieces(String),
    /// Closes the connection without an answer.
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

/// Starts a server that accepts one connection for each action.
async fn server(actions: Vec<ServerAction>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut open = Vec::new();
        for action in actions {
            let (mut socket, _) = listener.accept().await.unwrap();
            sender.send(read_request(&mut socket).await).unwrap();
            match action {
                ServerAction::Answer(status, body) => {
                    let length = body.len();
                    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n");
                    let answer = format!("{head}connection: close\r\n\r\n{body}");
                    socket.write_all(answer.as_bytes()).await.unwrap();
                }
                ServerAction::Part(body) => {
                    let head = "HTTP/1.1 200 X\r\ncontent-length: 100000\r\n\r\n";
                    socket.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
                }
                ServerAction::Stream(body) => {
                    // Without a length the body ends when the connection closes.
                    let head = "HTTP/1.1 200 X\r\n\r\n";
                    socket.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
                    open.push(socket);
                }
                ServerAction::Pieces(body) => {
                    socket.set_nodelay(true).unwrap();
                    socket.write_all(b"HTTP/1.1 200 X\r\n\r\n").await.unwrap();
                    for piece in body.as_bytes().chunks(5) {
                        socket.write_all(piece).await.unwrap();
                        tokio::task::yield_now().await;
                    }
                    open.push(socket);
                }
                ServerAction::Close => {}
                ServerAction::Hang => open.push(socket),
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

fn store(addresses: Vec<SocketAddr>) -> EtcdStore {
    EtcdStore::new(EtcdSettings {
        call_timeout: Duration::from_millis(600),
        watch_idle: Duration::from_millis(100),
        ..EtcdSettings::new(addresses)
    })
}

/// Creates a store and its server, which reacts to one request.
async fn store_with(action: ServerAction) -> (EtcdStore, Server) {
    let server = server(vec![action]).await;
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

/// Returns an address on which no process listens.
async fn unused_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

fn etcd_error(code: u32, message: &str) -> String {
    json!({"error": message, "code": code, "message": message}).to_string()
}

/// The adapter must use the published messages of the gateway, or a real service would not
/// understand it.
#[tokio::test]
async fn a_read_uses_the_published_messages() {
    let answer = r#"{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"2","raft_term":"3"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy","lease":"9"}],"count":"1"}"#;
    let (store, mut server) = store_with(ServerAction::Answer(200, answer.to_owned())).await;
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

/// Conditions, writes and the reads of a failed transaction must use the published messages
/// of the gateway, or a real service would not understand them.
#[tokio::test]
async fn a_transaction_uses_the_published_messages() {
    let answer = r#"{"header":{"revision":"12"},"responses":[{"response_range":{"header":{"revision":"12"},"kvs":[{"key":"Zm9v","mod_revision":"8","value":"YmF6"}],"count":"1"}}]}"#;
    let (store, mut server) = store_with(ServerAction::Answer(200, answer.to_owned())).await;
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
    let (store, _server) = store_with(ServerAction::Answer(200, done.to_owned())).await;
    let outcome = store.commit(swap()).await.unwrap();
    assert_eq!(outcome, TxnOutcome::Committed { revision: StoreRevision(12) });
}

/// Lease calls must use the published messages of the gateway, or a real service would not
/// understand them. An answer to a renewal without a time to live means that the lease has
/// expired.
#[tokio::test]
async fn leases_use_the_published_messages() {
    let granted = r#"{"header":{"revision":"2"},"ID":"7587848390689298446","TTL":"2"}"#;
    let (store, mut server) = store_with(ServerAction::Answer(200, granted.to_owned())).await;
    // The time to live is rounded up: the store must not end the lease before its holder.
    let lease = store.grant(Duration::from_millis(1_001)).await.unwrap();
    assert_eq!(lease, LeaseId(7_587_848_390_689_298_446));
    assert_eq!(
        server.received.recv().await.unwrap(),
        ("/v3/lease/grant".to_owned(), json!({"TTL": "2"}))
    );
    let renewed = "{\"result\":{\"header\":{\"revision\":\"2\"},\"ID\":\"5\",\"TTL\":\"2\"}}\n";
    let (store, _server) = store_with(ServerAction::Answer(200, renewed.to_owned())).await;
    assert_eq!(store.renew(lease).await, Ok(Duration::from_secs(2)));
    let expired = r#"{"result":{"header":{"revision":"2"},"ID":"5"}}"#;
    let (store, _server) = store_with(ServerAction::Answer(200, expired.to_owned())).await;
    assert_eq!(store.renew(lease).await, Err(Error::LeaseExpired));
}

/// If no connection was made, the caller may repeat a write safely.
#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    let store = store(vec![unused_addr().await, unused_addr().await]);
    let error = store.commit(swap()).await.unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }) && error.had_no_effect(), "{error}");
    let error = store.grant(Duration::from_secs(1)).await.unwrap_err();
    assert!(error.had_no_effect(), "{error}");
}

/// A write that was sent to one address may take effect. Sending it to the next address could
/// make it take effect twice.
#[tokio::test]
async fn the_next_address_is_tried_only_if_no_connection_was_made() {
    let answer = r#"{"header":{"revision":"3"},"succeeded":true}"#;
    let server_after = server(vec![ServerAction::Answer(200, answer.to_owned())]).await;
    let first = store(vec![unused_addr().await, server_after.addr]);
    assert!(matches!(first.commit(swap()).await, Ok(TxnOutcome::Committed { .. })));

    let (mut closing, mut spare) =
        (server(vec![ServerAction::Close]).await, server(vec![ServerAction::Close]).await);
    let second = store(vec![closing.addr, spare.addr]);
    assert!(matches!(second.commit(swap()).await, Err(Error::AnswerLost { .. })));
    assert!(closing.received.try_recv().is_ok());
    assert!(
        spare.received.try_recv().is_err(),
        "a write that may have taken effect was sent again"
    );
}

/// A caller that treats an unanswered write as failed would repeat it and write twice.
/// A read has no effect, so its failure is only unavailability.
#[tokio::test]
async fn a_write_without_a_complete_answer_may_have_taken_effect_and_a_read_may_not() {
    let cut = r#"{"header":{"revision":"12"},"succ"#.to_owned();
    let gateway = ServerAction::Answer(502, "bad gateway".to_owned());
    for action in [ServerAction::Close, ServerAction::Hang, ServerAction::Part(cut), gateway] {
        let server = server(vec![action.clone(), action.clone(), action.clone(), action]).await;
        let store = store(vec![server.addr]);
        assert!(matches!(store.commit(swap()).await, Err(Error::AnswerLost { .. })));
        assert!(matches!(store.renew(LeaseId(1)).await, Err(Error::AnswerLost { .. })));
        assert!(matches!(store.get(&key()).await, Err(Error::Unavailable { .. })));
        let watch = store.watch(&key(), StoreRevision(1)).await;
        assert!(matches!(watch, Err(Error::Unavailable { .. })));
    }
}

/// Some errors are returned although the write takes effect. A caller that treats such an error
/// as a proof of no effect would write twice.
#[tokio::test]
async fn status_codes_prove_no_effect_only_if_there_was_none() {
    let cases = [
        (3, "etcdserver: request is too large", true),
        (5, "etcdserver: requested lease not found", true),
        (8, "etcdserver: too many requests", true),
        // The write that reaches the quota takes effect.
        (8, "etcdserver: mvcc: database space exceeded", false),
        // This is also returned for a proposal that may still be applied.
        (14, "etcdserver: request timed out", false),
        (2, "unknown", false),
    ];
    for (code, message, no_effect) in cases {
        let (store, _server) =
            store_with(ServerAction::Answer(500, etcd_error(code, message))).await;
        let error = store.commit(swap()).await.unwrap_err();
        assert_eq!(error.had_no_effect(), no_effect, "{code}: {error}");
        assert_eq!(error == Error::LeaseExpired, code == 5);
    }
}

/// All fields of an answer but the revision are optional. Without a check, an unrelated answer
/// of a proxy would be accepted, for example as a list without keys.
#[tokio::test]
async fn a_malformed_answer_is_not_accepted() {
    // None of these bodies has a header. All other fields of an answer are optional.
    for body in ["[]", "{}", "null", "<html>", "{\"result\":{}}"] {
        let action = ServerAction::Answer(200, body.to_owned());
        let server = server(vec![action.clone(), action.clone(), action.clone(), action]).await;
        let store = store(vec![server.addr]);
        let error = store.commit(swap()).await.unwrap_err();
        assert!(matches!(error, Error::Malformed { .. }) && !error.had_no_effect(), "{body}");
        assert!(matches!(store.range(&key()).await, Err(Error::Malformed { .. })), "{body}");
        assert!(matches!(store.renew(LeaseId(1)).await, Err(Error::Malformed { .. })), "{body}");
        assert!(matches!(store.revoke(LeaseId(1)).await, Err(Error::Malformed { .. })), "{body}");
    }
    let oversized = "x".repeat(3 * 1024 * 1024);
    let (store, _server) = store_with(ServerAction::Answer(200, oversized)).await;
    assert!(matches!(store.get(&key()).await, Err(Error::Unavailable { .. })));
}

const CREATED: &str = "{\"result\":{\"header\":{\"revision\":\"5\"},\"created\":true}}\n";

/// The watch request must use the published messages of the gateway, or a real service would
/// not understand it. The stream must be understood in whatever pieces it arrives.
#[tokio::test]
async fn a_watch_uses_the_published_messages() {
    let events = r#"{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"Zm9v","mod_revision":"6","value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9vYg==","mod_revision":"7"}}]}}"#;
    let progress = r#"{"result":{"header":{"revision":"11"}}}"#;
    let stream = format!("{CREATED}\n{events}\n{progress}\n");
    let (store, mut server) = store_with(ServerAction::Pieces(stream)).await;
    let mut watch = store.watch(&key(), StoreRevision(6)).await.unwrap();
    let batch = watch.next().await.unwrap();
    // The revision in the header is ahead while the watch catches up.
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

/// A watch that ends as compacted requires a new list of the keys; other ends don't.
#[tokio::test]
async fn an_ended_watch_returns_the_reason() {
    let compacted = "{\"result\":{\"canceled\":true,\"compact_revision\":\"40\"}}\n";
    let denied = "{\"result\":{\"canceled\":true,\"cancel_reason\":\"denied\"}}\n";
    let error = "{\"error\":{\"grpc_code\":14,\"http_code\":503,\"message\":\"no leader\"}}\n";
    for (line, oldest) in [(compacted, Some(40)), (denied, None), (error, None), ("{\"res", None)] {
        let (store, _server) = store_with(ServerAction::Part(format!("{CREATED}{line}"))).await;
        let mut watch = store.watch(&key(), StoreRevision(6)).await.unwrap();
        match (watch.next().await.unwrap_err(), oldest) {
            (Error::Compacted { oldest }, Some(expected)) => assert_eq!(oldest.0, expected),
            (Error::Unavailable { .. }, None) => {}
            (other, _) => panic!("{line}: {other}"),
        }
    }
}

/// A connection may break without notice. The watch must be opened again after the last
/// delivered revision, so that no change is lost or repeated.
#[tokio::test]
async fn an_idle_watch_is_opened_again_at_its_position() {
    let events = r#"{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"Zm9v","mod_revision":"8","value":"YmFy"}}]}}"#;
    let mut server = server(vec![
        ServerAction::Stream(format!("{CREATED}{events}\n")),
        ServerAction::Stream(format!("{CREATED}{}\n", events.replace('8', "9"))),
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
