//! `vg-measure`: prints measurements of the decisions.

use std::io::{self, Write};
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use vg_measure::{Error, calls, capacity, fleet, jobs, members};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let mut out = io::stdout().lock();
    match run(&matches, &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Nothing is left to tell if standard error is closed too.
            let _ = writeln!(io::stderr(), "vg-measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("vg-measure")
        .about("Drives the decisions on model time and prints figures with their units")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(calls::command())
        .subcommand(fleet::command())
        .subcommand(jobs::command())
        .subcommand(members::command())
        .subcommand(capacity::command())
}

fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some((calls::NAME, matches)) => calls::run(matches, out),
        Some((capacity::NAME, matches)) => capacity::run(matches, out),
        Some((fleet::NAME, matches)) => fleet::run(matches, out),
        Some((jobs::NAME, matches)) => jobs::run(matches, out),
        Some((members::NAME, matches)) => members::run(matches, out),
        _ => Ok(()),
    }
}
