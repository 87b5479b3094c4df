//! What a whole site costs at rest, and how soon a change of the lists is in
//! force, on real time and loopback.

mod change;
mod counters;
mod heads;
mod idle;
mod lists;
mod memory;
mod process;
mod rig;
mod size;
mod slope;

use std::io::Write;

use clap::{Arg, ArgMatches, Command, value_parser};
use vg_base::prelude::*;

use crate::Error;
use size::Size;

/// Name of the subcommand.
pub const NAME: &str = "capacity";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Cost of a site at rest, and time until a change of the lists is in force")
        .arg(
            Arg::new("part")
                .long("part")
                .help("What is measured")
                .default_value("idle")
                .value_parser(["idle", "change", "memory", "heads"]),
        )
        .arg(
            Arg::new("size")
                .long("size")
                .help("NODES,POOLS,TEAMS,WORKERS-A-POOL of one site in place of the series")
                .value_parser(value_parser!(Size)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Time for which a site at rest is measured")
                .default_value("8")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("changes")
                .long("changes")
                .help("Changes of the lists in each case")
                .default_value("30")
                .value_parser(value_parser!(u32).range(1..)),
        )
}

/// Runs the measurement and prints its report.
///
/// # Errors
///
/// When a site does not start or the report can't be written.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let size = matches.get_one::<Size>("size").copied();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(8);
    let changes = matches.get_one::<u32>("changes").copied().unwrap_or(30);
    match matches.get_one::<String>("part").map(String::as_str) {
        Some("change") => change::report(size, changes, out),
        Some("heads") => heads::report(out),
        Some("memory") => memory::report(out),
        _ => idle::report(size, Duration::from_secs(seconds), out),
    }
}
