//! The program `verbenagap-standin`: local substitutes for the store, the host
//! list, the endpoints and the workers of the platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenagap::standin::main()
}
