//! Runs the program `verbenagap` as a process against a stand-in of the store.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use vg_base::SystemClock;
use vg_standin::StoreServer;
use vg_store::{CallKind, Fault, MemStore};

/// Returns the path of a file of the examples.
fn example_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file)
}

/// Runs the program and returns its exit status and output.
async fn run_program(store: SocketAddr, words: &str, files: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_verbenagap"));
    command
        .args(["--store", &store.to_string()])
        .args(words.split_whitespace())
        .args(files.iter().map(|file| example_path(file)))
        .env_clear();
    let output = tokio::task::spawn_blocking(move || command.output()).await.unwrap();
    let Output { status, stdout, stderr } = output.unwrap();
    (status.code().unwrap(), String::from_utf8([stdout, stderr].concat()).unwrap())
}

/// An operator checks, applies and shows lists. A change made from an old revision must be
/// refused, because it would undo the change of another operator.
#[tokio::test(flavor = "multi_thread")]
async fn lists_are_checked_applied_and_shown() {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let store = StoreServer::start(any_port, MemStore::new(SystemClock)).await.unwrap();
    let addr = store.addr();
    let recall = ["recall/plans.ini", "recall/uses.ini"];
    let (exit, text) = run_program(addr, "config check", &recall).await;
    assert_eq!(exit, 0, "{text}");
    assert!(text.starts_with("ok: lists (plans 6, pools 5, queues 14)\n"), "{text}");
    let (exit, text) = run_program(addr, "config apply --base 0", &recall).await;
    assert_eq!(exit, 0, "{text}");
    let signbridge = ["signbridge/plans.ini", "signbridge/uses.ini"];
    let (exit, text) = run_program(addr, "config apply --base 0", &signbridge).await;
    assert_eq!(exit, 1, "{text}");
    assert!(text.starts_with("verbenagap: conflict: the change was made from revision 0"));
    let (exit, text) = run_program(addr, "config apply --base 1", &signbridge).await;
    assert_eq!(exit, 0, "{text}");
    let (exit, text) = run_program(addr, "config show --plans", &[]).await;
    assert_eq!((exit, text), (0, std::fs::read_to_string(example_path(signbridge[0])).unwrap()));
    let (exit, text) = run_program(addr, "config history", &[]).await;
    assert_eq!((exit, text.lines().count()), (0, 3), "{text}");
}

/// Scripts distinguish a failed command (1) from an invalid command line (2). An unreachable
/// store must also be reported as having changed nothing.
#[tokio::test(flavor = "multi_thread")]
async fn failures_have_the_documented_exit_status() {
    let unreachable = "127.0.0.1:1".parse().unwrap();
    let (exit, text) = run_program(unreachable, "config show", &[]).await;
    assert_eq!(exit, 1, "{text}");
    assert!(text.ends_with("nothing was changed; try again when the store answers\n"), "{text}");
    let (exit, text) = run_program(unreachable, "config sow", &[]).await;
    assert_eq!(exit, 2, "{text}");
    assert!(text.lines().all(|line| line.starts_with("verbenagap: ")), "{text}");
}

/// The store's answer to a change can get lost after or before the change takes effect. The
/// program must find out which, and a change that it reported as not stored must not take
/// effect later.
#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answer_is_resolved() {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let store = StoreServer::start(any_port, MemStore::new(SystemClock)).await.unwrap();
    let addr = store.addr();
    let recall = ["recall/plans.ini", "recall/uses.ini"];
    store.faults().script(CallKind::Txn, Fault::AnswerLost, 1);
    let (exit, text) = run_program(addr, "config apply --base 0", &recall).await;
    assert_eq!(exit, 0, "{text}");
    assert!(text.contains("revision 1 is stored"), "{text}");
    let signbridge = ["signbridge/plans.ini", "signbridge/uses.ini"];
    let delay = Duration::from_secs(2);
    store.faults().script(CallKind::Txn, Fault::DelayedEffect(delay), 1);
    let (exit, text) = run_program(addr, "config apply --base 1", &signbridge).await;
    assert_eq!(exit, 1, "{text}");
    assert!(text.contains("the change is not stored and never will be"), "{text}");
    tokio::time::sleep(delay + Duration::from_secs(1)).await;
    let (exit, text) = run_program(addr, "config history", &[]).await;
    assert_eq!((exit, text.lines().count()), (0, 2), "{text}");
}
