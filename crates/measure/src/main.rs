//! The program `vg-measure`: prints measurements of the scheduling decisions.

use std::io::{self, Write};
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use vg_measure::{Error, calls, capacity, fleet, flow, jobs, members};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let mut out = io::stdout().lock();
    match run(&matches, &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error is closed, the exit status still reports the failure.
            let _ = writeln!(io::stderr(), "vg-measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("vg-measure")
        .about("Measures the scheduling decisions and prints figures with their units")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(calls::command())
        .subcommand(fleet::command())
        .subcommand(flow::command())
        .subcommand(jobs::command())
        .subcommand(members::command())
        .subcommand(capacity::command())
}

fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some((calls::NAME, matches)) => calls::run(matches, out),
        Some((capacity::NAME, matches)) => capacity::run(matches, out),
        Some((fleet::NAME, matches)) => fleet::run(matches, out),
        Some((flow::NAME, matches)) => flow::run(matches, out),
        Some((jobs::NAME, matches)) => jobs::run(matches, out),
        Some((members::NAME, matches)) => members::run(matches, out),
        _ => Ok(()),
    }
}
