//! The program `verbenagap`: the command line for operators and callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenagap::operator::main()
}
