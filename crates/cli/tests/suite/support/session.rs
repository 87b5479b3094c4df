//! Sessions of commands, compared with golden files.
//!
//! A line `$ WORDS` runs a command, and what follows up to an empty line is
//! its output (errors after `! `) and exit status. Lines `% WORDS` set a scene:
//!
//! - `% faults FAULT...`: what happens to the next calls to the store;
//! - `% late`: delayed store calls take effect now;
//! - `% hold NODE REVISION`, `% member NODE STATE ADDR`: what entry hosts say;
//! - `% var NAME VALUE`: a variable of the environment;
//! - `% input TEXT`: standard input of the next command.
//!
//! `@store`, `@nodes` and `@gone` stand for addresses.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::runtime::Runtime;
use vg_cli::{Console, run};
use vg_net::ServerHandle;

use super::faulty::{Fault, FaultyStore};
use super::node::{Knobs, start};
use super::system::FakeSystem;

/// An address that nothing listens on: a port that only the system may bind.
const GONE: &str = "127.0.0.1:1";

/// Runs a golden session and compares; writes it anew if
/// `VERBENAGAP_REGENERATE` is set.
pub(crate) fn check(name: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let path = dir.join(format!("{name}.session"));
    let expected = std::fs::read_to_string(&path).unwrap();
    let mut stage = Stage::new(dir.join("files"));
    let found = stage.play(&expected);
    if std::env::var_os("VERBENAGAP_REGENERATE").is_some() {
        std::fs::write(&path, &found).unwrap();
    }
    assert_eq!(found, expected, "{name}");
}

/// Runs one command that needs nothing, and returns its output.
pub(crate) fn run_words(words: &str) -> String {
    Stage::new(PathBuf::new()).command(words)
}

/// Everything around the commands of a session.
struct Stage {
    runtime: Runtime,
    store: FaultyStore,
    system: FakeSystem,
    knobs: Arc<Mutex<Knobs>>,
    nodes: Vec<ServerHandle>,
    gone: SocketAddr,
    input: String,
}

impl Stage {
    fn new(files: PathBuf) -> Stage {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.unwrap();
        let store = FaultyStore::new([]);
        let knobs = Arc::<Mutex<Knobs>>::default();
        let names = ["e1", "e2"];
        let begin = |name| runtime.block_on(start(name, store.inner.clone(), Arc::clone(&knobs)));
        let nodes = names.map(begin).into();
        let system = FakeSystem::new(files);
        let gone = GONE.parse().unwrap();
        Stage { runtime, store, system, knobs, nodes, gone, input: String::new() }
    }

    /// Runs the commands of a session and returns it with what they gave.
    fn play(&mut self, session: &str) -> String {
        let mut found = String::new();
        for line in session.lines() {
            if let Some(words) = line.strip_prefix("$ ") {
                found += &format!("{line}\n{}\n", self.command(words));
            } else if let Some(words) = line.strip_prefix("% ") {
                self.scene(words);
                found += &format!("{line}\n");
            } else if line.starts_with("# ") {
                found += &format!("{line}\n");
            }
        }
        found.truncate(found.trim_end().len());
        found + "\n"
    }

    fn command(&mut self, words: &str) -> String {
        let words = self.with_addrs(words);
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
        self.without_addrs(&lines) + &format!("[{}]\n", exit as u8)
    }

    fn scene(&mut self, words: &str) {
        let words = &self.with_addrs(words);
        let (verb, rest) = words.split_once(' ').unwrap_or((words, ""));
        let (first, second) = rest.split_once(' ').unwrap_or((rest, ""));
        let mut knobs = self.knobs.lock().unwrap();
        match verb {
            "faults" => self.store.plan(rest.split(' ').map(fault)),
            "late" => self.runtime.block_on(self.store.flush()),
            "hold" => drop(knobs.held.insert(first.to_owned(), second.parse().unwrap())),
            "member" => {
                let (state, addr) = second.split_once(' ').unwrap();
                knobs.members.push((first.into(), state.into(), addr.parse().unwrap()));
            }
            "input" => self.input = format!("{rest}\n"),
            "var" => drop(self.system.vars.borrow_mut().insert(first.into(), second.into())),
            _ => panic!("no scene `{verb}`"),
        }
    }

    fn addrs(&self) -> Vec<(String, String)> {
        let node = |(at, node): (usize, &ServerHandle)| (node.addr().to_string(), at + 1);
        let nodes = self.nodes.iter().enumerate().map(node);
        let named = nodes.map(|(addr, number)| (addr, format!("@node{number}")));
        named.chain([(self.gone.to_string(), "@gone".to_owned())]).collect()
    }

    fn with_addrs(&self, words: &str) -> String {
        let words = words.replace("@nodes", "@node1,@node2").replace("@store", "127.0.0.1:2379");
        self.addrs().iter().fold(words, |words, (addr, name)| words.replace(name, addr))
    }

    fn without_addrs(&self, text: &str) -> String {
        let addrs = self.addrs();
        addrs.iter().fold(text.to_owned(), |text, (addr, name)| text.replace(addr, name))
    }
}

fn fault(word: &str) -> Fault {
    match word {
        "none" => Fault::None,
        "unreached" => Fault::Unreached,
        "lost-before" => Fault::LostBefore,
        "lost-after" => Fault::LostAfter,
        "delayed" => Fault::Delayed,
        _ => panic!("no fault `{word}`"),
    }
}
