//! The program `verbenagapd`: runs one entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenagap::daemon::main()
}
