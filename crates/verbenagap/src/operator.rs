//! The program `verbenagap`: command line of operators and callers.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::process::ExitCode;

use vg_cli::{Console, OsSystem};
use vg_store::{EtcdSettings, EtcdStore};

/// Runs the program.
pub fn main() -> ExitCode {
    let platform = |addrs: &[SocketAddr]| EtcdStore::new(EtcdSettings::new(addrs.to_vec()));
    let terminal = std::io::stdout().is_terminal();
    let (mut input, mut out, mut err) =
        (std::io::stdin().lock(), std::io::stdout().lock(), std::io::stderr().lock());
    let mut console = Console { input: &mut input, out: &mut out, err: &mut err, terminal };
    let extras = [crate::demo::EXTRA];
    vg_cli::run(std::env::args_os(), &extras, &platform, &OsSystem, &mut console).into()
}
