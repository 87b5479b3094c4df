//! Options that every command takes.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use vg_base::prelude::*;
use vg_conf::duration;

use crate::{Error, System};

const JSON: &str = "json";
const STORE: &str = "store";
const ENTRY: &str = "entry";
const TIMEOUT: &str = "timeout";
const KEY_FILE: &str = "key-file";
const COLOR: &str = "color";

/// Longest time for one exchange with the store or an entry host.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// The options' values.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Whether output is JSON.
    pub(crate) json: bool,
    /// Whether output may be coloured; `None`: if it goes to a terminal.
    pub(crate) color: Option<bool>,
    /// Addresses of the store.
    pub(crate) store: Vec<SocketAddr>,
    /// Addresses of entry hosts.
    pub(crate) entries: Vec<SocketAddr>,
    /// Longest time for one exchange.
    pub(crate) timeout: Duration,
    /// File that holds the caller's key.
    pub(crate) key_file: Option<PathBuf>,
}

impl Options {
    /// Adds the options to a command.
    pub(crate) fn add(command: Command) -> Command {
        let word = |name: &'static str, value: &'static str, help: &'static str| {
            Arg::new(name).long(name).value_name(value).help(help).global(true)
        };
        command
            .arg(
                Arg::new(JSON)
                    .long(JSON)
                    .action(ArgAction::SetTrue)
                    .global(true)
                    .help("Print JSON in place of text"),
            )
            .arg(word(STORE, "ADDRS", "Addresses of the store, or set VERBENAGAP_STORE"))
            .arg(word(ENTRY, "ADDRS", "Callers' addresses of entry hosts, or VERBENAGAP_ENTRY"))
            .arg(word(TIMEOUT, "TIME", "Longest time for one exchange [default: 5s]"))
            .arg(
                word(KEY_FILE, "FILE", "File that holds the key, or set VERBENAGAP_KEY")
                    .value_parser(value_parser!(PathBuf)),
            )
            .arg(
                word(COLOR, "WHEN", "Colours: auto, always or never [default: auto]")
                    .value_parser(["auto", "always", "never"])
                    .hide_possible_values(true),
            )
    }

    /// Reads the options from the command line and the environment.
    pub(crate) fn read(matches: &ArgMatches, system: &impl System) -> Result<Options, Error> {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let timeout = match text(TIMEOUT) {
            Some(text) => time(TIMEOUT, &text)?,
            None => DEFAULT_TIMEOUT,
        };
        let color = match text(COLOR).as_deref() {
            Some("always") => Some(true),
            Some("never") => Some(false),
            _ => system.var("NO_COLOR").map(|_| false),
        };
        Ok(Options {
            json: matches.get_flag(JSON),
            color,
            store: addrs(STORE, text(STORE).or_else(|| system.var("VERBENAGAP_STORE")))?,
            entries: addrs(ENTRY, text(ENTRY).or_else(|| system.var("VERBENAGAP_ENTRY")))?,
            timeout,
            key_file: matches.get_one::<PathBuf>(KEY_FILE).cloned(),
        })
    }
}

/// Parses the value of an option that is a length of time.
pub(crate) fn time(name: &str, text: &str) -> Result<Duration, Error> {
    let refused = || Error::usage(format!("--{name}: `{text}` is not {}", duration::ACCEPTED));
    duration::parse(text).map_err(|_| refused())
}

fn addrs(name: &str, text: Option<String>) -> Result<Vec<SocketAddr>, Error> {
    let text = text.unwrap_or_default();
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    let parse = |item: &str| {
        let message = format!(
            "--{name}: `{item}` is not an address; accepted: IP numbers with ports, separated by commas"
        );
        item.parse().map_err(|_| Error::usage(message))
    };
    items.map(parse).collect()
}
