//! Commands of the command line against entry hosts over TCP.

mod common;

use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use common::{PLANS, USES, name, small_site};
use verbenagap::site::Site;
use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_cli::{Console, Exit, OsSystem, System, run};
use vg_store::MemStore;

/// The operating system, with the two list files and the caller's key replaced.
struct TestSystem {
    plans: String,
    key: String,
}

impl System for TestSystem {
    fn read_file(&self, path: &Path) -> io::Result<String> {
        match path.to_str() {
            Some("plans.ini") => Ok(self.plans.clone()),
            Some("uses.ini") => Ok(USES.to_owned()),
            _ => OsSystem.read_file(path),
        }
    }

    fn env_var(&self, name: &str) -> Option<String> {
        (name == "VERBENAGAP_KEY").then(|| self.key.clone())
    }

    fn wall_time(&self) -> SystemTime {
        OsSystem.wall_time()
    }

    fn random(&self, bytes: &mut [u8]) -> io::Result<()> {
        OsSystem.random(bytes)
    }
}

/// Runs a command as the program does, and returns its exit status and output.
async fn run_command(site: &Site, plans: &str, words: &str) -> (Exit, String) {
    let entry = site.nodes().values().next().unwrap().handle.node().call_addr;
    let line = format!("verbenagap --store 127.0.0.1:1 --entry {entry} {words}");
    let args: Vec<OsString> = line.split(' ').map(OsString::from).collect();
    let key = site.team_keys().get(&name("bakery")).unwrap().to_owned();
    let system = TestSystem { plans: plans.to_owned(), key };
    let store: MemStore<SystemClock> = site.store().clone();
    let result = tokio::task::spawn_blocking(move || {
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut console =
            Console { input: &mut io::empty(), out: &mut out, err: &mut err, terminal: false };
        let connect_store = |_: &[SocketAddr], _: Duration| store.clone();
        let exit = run(args, &[], &connect_store, &system, &mut console);
        (exit, String::from_utf8([out, err].concat()).unwrap())
    });
    result.await.unwrap()
}

/// `config apply` must report a change as in force only when every entry host uses it. A key
/// that the change withdraws must be refused right after the report.
#[tokio::test(flavor = "multi_thread")]
async fn applied_change_is_reported_in_force() {
    let site = small_site().await;
    let (exit, text) = run_command(&site, PLANS, "call urgent --body notice").await;
    assert_eq!(exit, Exit::Success, "{text}");
    // PLANS has no keys, so applying it withdraws all keys that the site granted.
    let (exit, text) = run_command(&site, PLANS, "config apply --base 1 plans.ini uses.ini").await;
    assert_eq!(exit, Exit::Success, "{text}");
    assert!(text.contains("(work of bakery with this key will be refused)"), "{text}");
    assert!(text.contains("revision 2 is in force on all 3 live entry hosts"), "{text}");
    let (exit, text) = run_command(&site, PLANS, "call urgent --body notice").await;
    assert_eq!(exit, Exit::Failed, "{text}");
    assert!(text.starts_with("verbenagap: not run: unknown-key (401)"), "{text}");
    let (exit, text) = run_command(&site, PLANS, "config status").await;
    assert_eq!((exit, text.lines().count()), (Exit::Success, 5), "{text}");
}

/// `timeline` merges the events of all entry hosts. An entry host that it left out, or events
/// that it lost, would hide a part of what happened.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_covers_all_entry_hosts() {
    let site = small_site().await;
    let (exit, text) = run_command(&site, PLANS, "call urgent").await;
    assert_eq!(exit, Exit::Success, "{text}");
    let (exit, text) = run_command(&site, PLANS, "timeline").await;
    assert_eq!(exit, Exit::Success, "{text}");
    for node in site.nodes().keys() {
        let started = text
            .lines()
            .any(|line| line.contains(&format!(" {node}/")) && line.contains("process-started"));
        assert!(started, "{text}");
    }
    assert!(text.contains("call-answered"), "{text}");
    assert!(!text.contains("missing"), "{text}");
}
