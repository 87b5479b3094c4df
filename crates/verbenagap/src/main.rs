//! Command line of operators and callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenagap::operator::main()
}
