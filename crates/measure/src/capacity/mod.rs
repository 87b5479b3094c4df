//! The subcommand `capacity`: measures the cost of an idle site and the time until changed
//! lists are in force, in real time over loopback.

mod change;
mod counters;
mod headers;
mod idle;
mod lists;
mod measured_site;
mod memory;
mod process;
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
        .about("Measures the cost of an idle site and the time until changed lists are in force")
        .arg(
            Arg::new("part")
                .long("part")
                .help("Measurement to run")
                .default_value("idle")
                .value_parser(["idle", "change", "memory", "heads"]),
        )
        .arg(
            Arg::new("size")
                .long("size")
                .help("NODES,POOLS,TEAMS,WORKERS-PER-POOL of one site to measure instead of the series")
                .value_parser(value_parser!(Size)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Time for which an idle site is measured, in seconds")
                .default_value("8")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("changes")
                .long("changes")
                .help("Number of changes of the lists in each case")
                .default_value("30")
                .value_parser(value_parser!(u32).range(1..)),
        )
}

/// Runs the measurement and prints its report.
///
/// # Errors
///
/// If a site does not start or the report cannot be written.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let size = matches.get_one::<Size>("size").copied();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(8);
    let changes = matches.get_one::<u32>("changes").copied().unwrap_or(30);
    match matches.get_one::<String>("part").map(String::as_str) {
        Some("change") => change::report(size, changes, out),
        Some("heads") => headers::report(out),
        Some("memory") => memory::report(out),
        _ => idle::report(size, Duration::from_secs(seconds), out),
    }
}
