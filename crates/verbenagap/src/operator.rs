//! The program `verbenagap`: the command line for operators and callers.

use std::io::{self, IsTerminal};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use vg_cli::{Console, OsSystem};
use vg_store::{EtcdSettings, EtcdStore};

/// Runs the program and returns its exit status.
pub fn main() -> ExitCode {
    let terminal = io::stdout().is_terminal();
    let mut console = Console {
        input: &mut io::stdin(),
        out: &mut io::stdout(),
        err: &mut io::stderr(),
        terminal,
    };
    let extras = [crate::demo::EXTRA];
    vg_cli::run(std::env::args_os(), &extras, &connect_store, &OsSystem, &mut console).into()
}

/// Returns a client of the etcd store at `addrs`.
fn connect_store(addrs: &[SocketAddr], call_timeout: Duration) -> EtcdStore {
    EtcdStore::new(EtcdSettings { call_timeout, ..EtcdSettings::new(addrs.to_vec()) })
}
