//! The program `verbenagap` as a process, against the store's stand-in.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use vg_base::SystemClock;
use vg_standin::StoreServer;
use vg_store::{CallKind, Fault, MemStore};

fn example(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file)
}

/// Runs the program and returns its exit status and output.
async fn verbenagap(store: SocketAddr, words: &str, files: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_verbenagap"));
    command
        .args(["--store", &store.to_string()])
        .args(words.split_whitespace())
        .args(files.iter().map(|file| example(file)))
        .env_clear();
    let output = tokio::task::spawn_blocking(move || command.output()).await.unwrap();
    let Output { status, stdout, stderr } = output.unwrap();
    (status.code().unwrap(), String::from_utf8([stdout, stderr].concat()).unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn lists_are_checked_applied_and_shown() {
    let any = "127.0.0.1:0".parse().unwrap();
    let store = StoreServer::start(any, MemStore::new(SystemClock)).await.unwrap();
    let addr = store.addr();
    let recall = ["recall/plans.ini", "recall/uses.ini"];
    let (exit, text) = verbenagap(addr, "config check", &recall).await;
    assert_eq!(exit, 0, "{text}");
    assert!(text.starts_with("ok: lists (plans 6, pools 5, queues 14)\n"), "{text}");
    let (exit, text) = verbenagap(addr, "config apply --base 0", &recall).await;
    assert_eq!(exit, 0, "{text}");
    let signbridge = ["signbridge/plans.ini", "signbridge/uses.ini"];
    let (exit, text) = verbenagap(addr, "config apply --base 0", &signbridge).await;
    assert_eq!(exit, 1, "{text}");
    assert!(text.starts_with("verbenagap: conflict: the change was made from revision 0"));
    let (exit, text) = verbenagap(addr, "config apply --base 1", &signbridge).await;
    assert_eq!(exit, 0, "{text}");
    let (exit, text) = verbenagap(addr, "config show --plans", &[]).await;
    assert_eq!((exit, text), (0, std::fs::read_to_string(example(signbridge[0])).unwrap()));
    let (exit, text) = verbenagap(addr, "config history", &[]).await;
    assert_eq!((exit, text.lines().count()), (0, 3), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_out_of_reach_and_a_wrong_word_have_their_exit_status() {
    let gone = "127.0.0.1:1".parse().unwrap();
    let (exit, text) = verbenagap(gone, "config show", &[]).await;
    assert_eq!(exit, 1, "{text}");
    assert!(text.ends_with("nothing was changed; try again when the store answers\n"), "{text}");
    let (exit, text) = verbenagap(gone, "config sow", &[]).await;
    assert_eq!(exit, 2, "{text}");
    assert!(text.lines().all(|line| line.starts_with("verbenagap: ")), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_and_a_late_write_has_no_effect() {
    let any = "127.0.0.1:0".parse().unwrap();
    let store = StoreServer::start(any, MemStore::new(SystemClock)).await.unwrap();
    let addr = store.addr();
    let recall = ["recall/plans.ini", "recall/uses.ini"];
    store.faults().script(CallKind::Txn, Fault::AnswerLost, 1);
    let (exit, text) = verbenagap(addr, "config apply --base 0", &recall).await;
    assert_eq!(exit, 0, "{text}");
    assert!(text.contains("revision 1 is stored"), "{text}");
    let signbridge = ["signbridge/plans.ini", "signbridge/uses.ini"];
    let late = Duration::from_secs(2);
    store.faults().script(CallKind::Txn, Fault::DelayedEffect(late), 1);
    let (exit, text) = verbenagap(addr, "config apply --base 1", &signbridge).await;
    assert_eq!(exit, 1, "{text}");
    assert!(text.contains("the change is not stored and never will be"), "{text}");
    tokio::time::sleep(late + Duration::from_secs(1)).await;
    let (exit, text) = verbenagap(addr, "config history", &[]).await;
    assert_eq!((exit, text.lines().count()), (0, 2), "{text}");
}
