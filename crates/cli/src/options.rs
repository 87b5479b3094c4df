//! Options that every command accepts.

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

/// Default of `--timeout`: the time limit for one exchange with the store or an
/// entry host.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// The values of the options.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Whether output is JSON.
    pub(crate) json: bool,
    /// Whether output is coloured; `None` means only if it goes to a terminal.
    pub(crate) color: Option<bool>,
    /// Addresses of the store.
    pub(crate) store: Vec<SocketAddr>,
    /// Callers' addresses of entry hosts.
    pub(crate) entries: Vec<SocketAddr>,
    /// Time limit for one exchange with the store or an entry host.
    pub(crate) timeout: Duration,
    /// File that holds the caller's key.
    pub(crate) key_file: Option<PathBuf>,
}

impl Options {
    /// Adds the options to a command.
    pub(crate) fn add(command: Command) -> Command {
        let option = |name: &'static str, value: &'static str, help: &'static str| {
            Arg::new(name).long(name).value_name(value).help(help).global(true)
        };
        command
            .arg(
                Arg::new(JSON)
                    .long(JSON)
                    .action(ArgAction::SetTrue)
                    .global(true)
                    .help("Print JSON instead of text"),
            )
            .arg(option(STORE, "ADDRS", "Addresses of the store [env: VERBENAGAP_STORE]"))
            .arg(option(
                ENTRY,
                "ADDRS",
                "Callers' addresses of entry hosts [env: VERBENAGAP_ENTRY]",
            ))
            .arg(option(TIMEOUT, "TIME", "Time limit for one exchange [default: 5s]"))
            .arg(
                option(KEY_FILE, "FILE", "File that holds the caller's key [env: VERBENAGAP_KEY]")
                    .value_parser(value_parser!(PathBuf)),
            )
            .arg(
                option(
                    COLOR,
                    "WHEN",
                    "When to colour output: auto, always or never [default: auto]",
                )
                .value_parser(["auto", "always", "never"])
                .hide_possible_values(true),
            )
    }

    /// Reads the options from the command line and the environment.
    pub(crate) fn read(matches: &ArgMatches, system: &impl System) -> Result<Options, Error> {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let timeout = match text(TIMEOUT) {
            Some(text) => parse_duration(TIMEOUT, &text)?,
            None => DEFAULT_TIMEOUT,
        };
        let color = match text(COLOR).as_deref() {
            Some("always") => Some(true),
            Some("never") => Some(false),
            _ => system.env_var("NO_COLOR").map(|_| false),
        };
        Ok(Options {
            json: matches.get_flag(JSON),
            color,
            store: parse_addrs(STORE, text(STORE).or_else(|| system.env_var("VERBENAGAP_STORE")))?,
            entries: parse_addrs(
                ENTRY,
                text(ENTRY).or_else(|| system.env_var("VERBENAGAP_ENTRY")),
            )?,
            timeout,
            key_file: matches.get_one::<PathBuf>(KEY_FILE).cloned(),
        })
    }
}

/// Parses the value of the option `name` as a duration.
pub(crate) fn parse_duration(name: &str, text: &str) -> Result<Duration, Error> {
    let error = || Error::usage(format!("--{name}: `{text}` is not {}", duration::ACCEPTED));
    duration::parse(text).map_err(|_| error())
}

fn parse_addrs(name: &str, text: Option<String>) -> Result<Vec<SocketAddr>, Error> {
    let text = text.unwrap_or_default();
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    let parse = |item: &str| {
        let message = format!(
            "--{name}: `{item}` is not an address; accepted: IP addresses with ports, separated by commas"
        );
        item.parse().map_err(|_| Error::usage(message))
    };
    items.map(parse).collect()
}
