//! Stand-ins of the platform: store, host list, endpoints and workers.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenagap::standin::main()
}
