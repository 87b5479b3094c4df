//! Command line of operators and callers.

use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use vg_cli::{Console, Extra, OsSystem};
use vg_store::{EtcdSettings, EtcdStore};

/// Commands beyond those of `vg-cli`.
const EXTRAS: &[Extra] = &[];

fn main() -> ExitCode {
    let terminal = io::stdout().is_terminal();
    let mut console = Console {
        input: &mut io::stdin(),
        out: &mut io::stdout(),
        err: &mut io::stderr(),
        terminal,
    };
    vg_cli::run(std::env::args_os(), EXTRAS, &store, &OsSystem, &mut console).into()
}

fn store(addrs: &[SocketAddr], call_timeout: Duration) -> EtcdStore {
    EtcdStore::new(EtcdSettings { call_timeout, ..EtcdSettings::new(addrs.to_vec()) })
}
