//! Commands of the command line against entry hosts over real sockets.

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

/// The operating system with two files and a key of its own.
struct Desk {
    plans: String,
    key: String,
}

impl System for Desk {
    fn read(&self, path: &Path) -> io::Result<String> {
        match path.to_str() {
            Some("plans.ini") => Ok(self.plans.clone()),
            Some("uses.ini") => Ok(USES.to_owned()),
            _ => OsSystem.read(path),
        }
    }

    fn var(&self, name: &str) -> Option<String> {
        (name == "VERBENAGAP_KEY").then(|| self.key.clone())
    }

    fn wall(&self) -> SystemTime {
        OsSystem.wall()
    }

    fn random(&self, bytes: &mut [u8]) -> io::Result<()> {
        OsSystem.random(bytes)
    }
}

/// Runs one command as a process of its own would, and returns its output.
async fn command(site: &Site, plans: &str, words: &str) -> (Exit, String) {
    let entry = site.nodes().values().next().unwrap().handle.node().call_addr;
    let line = format!("verbenagap --store 127.0.0.1:1 --entry {entry} {words}");
    let args: Vec<OsString> = line.split(' ').map(OsString::from).collect();
    let key = site.keys().get(&name("bakery")).unwrap().to_owned();
    let desk = Desk { plans: plans.to_owned(), key };
    let store: MemStore<SystemClock> = site.store().clone();
    let done = tokio::task::spawn_blocking(move || {
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut console =
            Console { input: &mut io::empty(), out: &mut out, err: &mut err, terminal: false };
        let platform = |_: &[SocketAddr], _: Duration| store.clone();
        let exit = run(args, &[], &platform, &desk, &mut console);
        (exit, String::from_utf8([out, err].concat()).unwrap())
    });
    done.await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_applied_change_is_reported_in_force_and_a_withdrawn_key_stops_working() {
    let site = small_site().await;
    let (exit, text) = command(&site, PLANS, "call urgent --body notice").await;
    assert_eq!(exit, Exit::Success, "{text}");
    // PLANS names no keys: applying it withdraws all that the site granted.
    let (exit, text) = command(&site, PLANS, "config apply --base 1 plans.ini uses.ini").await;
    assert_eq!(exit, Exit::Success, "{text}");
    assert!(text.contains("(work of bakery with this key will be refused)"), "{text}");
    assert!(text.contains("revision 2 is in force on all 3 live entry hosts"), "{text}");
    let (exit, text) = command(&site, PLANS, "call urgent --body notice").await;
    assert_eq!(exit, Exit::Failed, "{text}");
    assert!(text.starts_with("verbenagap: not run: unknown-key (401)"), "{text}");
    let (exit, text) = command(&site, PLANS, "config status").await;
    assert_eq!((exit, text.lines().count()), (Exit::Success, 5), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_time_line_covers_all_entry_hosts() {
    let site = small_site().await;
    let (exit, text) = command(&site, PLANS, "call urgent").await;
    assert_eq!(exit, Exit::Success, "{text}");
    let (exit, text) = command(&site, PLANS, "timeline").await;
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
