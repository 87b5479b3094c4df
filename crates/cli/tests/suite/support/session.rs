//! Runs sessions of commands and compares them with golden files.
//!
//! A line `$ WORDS` runs a command, and what follows up to an empty line is
//! its output (standard error after `! `) and exit status. Lines `% WORDS` are
//! directives to the fakes:
//!
//! - `% faults FAULT...`: the faults of the next calls to the store;
//! - `% apply-delayed`: delayed store calls take effect now;
//! - `% hold NODE REVISION`, `% member NODE STATE ADDR`: what entry hosts report;
//! - `% var NAME VALUE`: an environment variable;
//! - `% input TEXT`: standard input of the next command.
//!
//! `@store`, `@nodes` and `@unreachable` stand for addresses.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::runtime::Runtime;
use vg_cli::{Console, run};
use vg_net::ServerHandle;

use super::faulty::{Fault, FaultyStore};
use super::node::{NodeControls, start};
use super::system::FakeSystem;

/// An address on which nothing listens: its port is reserved for the system.
const UNREACHABLE_ADDR: &str = "127.0.0.1:1";

/// Runs a golden session and compares it with its file. Rewrites the file if
/// `VERBENAGAP_REGENERATE` is set.
pub(crate) fn check_session(name: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let path = dir.join(format!("{name}.session"));
    let expected = std::fs::read_to_string(&path).unwrap();
    let mut runner = SessionRunner::new(dir.join("files"));
    let found = runner.run_session(&expected);
    if std::env::var_os("VERBENAGAP_REGENERATE").is_some() {
        std::fs::write(&path, &found).unwrap();
    }
    assert_eq!(found, expected, "{name}");
}

/// Runs one command that needs no files and returns its output.
pub(crate) fn run_command(words: &str) -> String {
    SessionRunner::new(PathBuf::new()).run_line(words)
}

/// The fakes around the commands of a session.
struct SessionRunner {
    runtime: Runtime,
    store: FaultyStore,
    system: FakeSystem,
    controls: Arc<Mutex<NodeControls>>,
    nodes: Vec<ServerHandle>,
    unreachable: SocketAddr,
    input: String,
}

impl SessionRunner {
    fn new(files: PathBuf) -> SessionRunner {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.unwrap();
        let store = FaultyStore::new([]);
        let controls = Arc::<Mutex<NodeControls>>::default();
        let names = ["e1", "e2"];
        let start_node =
            |name| runtime.block_on(start(name, store.inner.clone(), Arc::clone(&controls)));
        let nodes = names.map(start_node).into();
        let system = FakeSystem::new(files);
        let unreachable = UNREACHABLE_ADDR.parse().unwrap();
        SessionRunner { runtime, store, system, controls, nodes, unreachable, input: String::new() }
    }

    /// Runs the commands of a session and returns the session with their output.
    fn run_session(&mut self, session: &str) -> String {
        let mut found = String::new();
        for line in session.lines() {
            if let Some(words) = line.strip_prefix("$ ") {
                found += &format!("{line}\n{}\n", self.run_line(words));
            } else if let Some(words) = line.strip_prefix("% ") {
                self.run_directive(words);
                found += &format!("{line}\n");
            } else if line.starts_with("# ") {
                found += &format!("{line}\n");
            }
        }
        found.truncate(found.trim_end().len());
        found + "\n"
    }

    fn run_line(&mut self, words: &str) -> String {
        let words = self.insert_addrs(words);
        let args = ["verbenagap"].into_iter().chain(words.split_whitespace()).map(OsString::from);
        let input = std::mem::take(&mut self.input);
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut console =
            Console { input: &mut input.as_bytes(), out: &mut out, err: &mut err, terminal: false };
        let platform = |_: &[SocketAddr], _: Duration| self.store.clone();
        let exit = run(args, &[], &platform, &self.system, &mut console);
        let mut text = String::from_utf8(out).unwrap();
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        for line in String::from_utf8(err).unwrap().lines() {
            text += &format!("! {line}\n");
        }
        // An empty line would end the command's output.
        let lines = text.lines().map(|line| if line.is_empty() { "|" } else { line });
        let lines: String = lines.map(|line| format!("{line}\n")).collect();
        self.remove_addrs(&lines) + &format!("[{}]\n", exit as u8)
    }

    fn run_directive(&mut self, words: &str) {
        let words = &self.insert_addrs(words);
        let (verb, rest) = words.split_once(' ').unwrap_or((words, ""));
        let (first, second) = rest.split_once(' ').unwrap_or((rest, ""));
        let mut controls = self.controls.lock().unwrap();
        match verb {
            "faults" => self.store.set_faults(rest.split(' ').map(fault)),
            "apply-delayed" => self.runtime.block_on(self.store.apply_delayed()),
            "hold" => drop(controls.revisions.insert(first.to_owned(), second.parse().unwrap())),
            "member" => {
                let (state, addr) = second.split_once(' ').unwrap();
                controls.members.push((first.into(), state.into(), addr.parse().unwrap()));
            }
            "input" => self.input = format!("{rest}\n"),
            "var" => drop(self.system.vars.borrow_mut().insert(first.into(), second.into())),
            _ => panic!("no directive `{verb}`"),
        }
    }

    fn addrs(&self) -> Vec<(String, String)> {
        let node = |(at, node): (usize, &ServerHandle)| (node.addr().to_string(), at + 1);
        let nodes = self.nodes.iter().enumerate().map(node);
        let named = nodes.map(|(addr, number)| (addr, format!("@node{number}")));
        named.chain([(self.unreachable.to_string(), "@unreachable".to_owned())]).collect()
    }

    fn insert_addrs(&self, words: &str) -> String {
        let words = words.replace("@nodes", "@node1,@node2").replace("@store", "127.0.0.1:2379");
        self.addrs().iter().fold(words, |words, (addr, name)| words.replace(name, addr))
    }

    fn remove_addrs(&self, text: &str) -> String {
        let addrs = self.addrs();
        addrs.iter().fold(text.to_owned(), |text, (addr, name)| text.replace(addr, name))
    }
}

fn fault(word: &str) -> Fault {
    match word {
        "none" => Fault::None,
        "unreachable" => Fault::Unreachable,
        "request-lost" => Fault::RequestLost,
        "answer-lost" => Fault::AnswerLost,
        "delayed" => Fault::Delayed,
        _ => panic!("no fault `{word}`"),
    }
}
