//! The subcommand `jobs`: measures the start delay of urgent jobs, packing, store writes,
//! quarantine and recovery.

mod cluster;
mod first_fit;
mod packing;
mod pool;
mod quarantine;
mod recovery;
mod site;
mod slope;
mod store;
mod tally;
mod work;

use std::io::Write;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::Error;
use crate::report::Table;
use first_fit::FirstFit;
use pool::{FaultMode, Pool};
use site::Site;
use tally::Tally;

/// Number of entry hosts that the pools are spread over.
const NODE_COUNT: usize = 9;

/// Name of the subcommand.
pub const NAME: &str = "jobs";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Measures urgent starts, packing, store writes, quarantine and recovery of jobs")
        .arg(
            Arg::new("site")
                .long("site")
                .help("Deployment of starts, packing and quarantine; the others use none")
                .default_value("recall")
                .value_parser(["recall", "signbridge", "target"]),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of the random numbers; recovery draws none")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Simulated seconds of starts; packing and quarantine use a fixed time")
                .default_value("600")
                .value_parser(value_parser!(u64).range(60..)),
        )
}

/// Runs the measurements and prints their reports.
///
/// The site governs the reports of starts, packing and quarantine, the seed these and the
/// one of rounds, and the argument `seconds` only the one of starts.
///
/// # Errors
///
/// If an argument is invalid or the report cannot be written.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let name = matches.get_one::<String>("site").map_or("recall", String::as_str);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(600);
    let site = Site::named(name)
        .ok_or_else(|| Error::Argument { what: format!("unknown site `{name}`") })?;
    writeln!(
        out,
        "jobs: site {name}, seed {seed}, {seconds} s of simulated time, {} pools, {} workers, {} accelerators, {} teams",
        site.pools.len(),
        site.workers(),
        site.accelerators(),
        site.teams
    )?;
    report_starts(&site, seed, seconds, out)?;
    packing::report(&site, seed, out)?;
    quarantine::report(&site, seed, out)?;
    slope::report(seed, out)?;
    recovery::report(seed, out)
}

/// Reports the start delay of urgent jobs that come in spikes while background jobs fill
/// the pools.
fn report_starts(site: &Site, seed: u64, seconds: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(
        out,
        "\nstarts: urgent jobs at 5 times their mean rate for 5 s per minute, background jobs"
    )?;
    writeln!(out, "fill the rest; time from submission to the first start, in simulated seconds")?;
    let run = |faults: FaultMode| -> Tally {
        let pools = site.pools.iter().enumerate();
        let run_pool = |(index, pool)| {
            let node = index % NODE_COUNT;
            Pool::new(site, pool, node, seed + index as u64, seconds, faults).run(seconds)
        };
        pools.map(run_pool).sum()
    };
    let first_fit = || -> Tally {
        let pools = site.pools.iter().enumerate();
        let run_pool =
            |(index, pool)| FirstFit::new(site, pool, seed + index as u64, seconds).run(seconds);
        pools.map(run_pool).sum()
    };
    let mut table = Table::new(&[
        "policy",
        "urgent",
        "p50",
        "p99",
        "max",
        "over 3.8 s",
        "background done",
        "cores used",
        "out of memory",
        "unknown",
        "lost",
        "writes/s",
        "shared writes/s",
        "KB/s",
    ]);
    add_row(&mut table, "verbenagap", &run(FaultMode::None), seconds);
    add_row(&mut table, "verbenagap, with faults", &run(FaultMode::All), seconds);
    add_row(&mut table, "first fit, one write per change", &first_fit(), seconds);
    table.write(out)?;
    writeln!(
        out,
        "  faults: no owner for 6 s every 120 s, store down for 10 s every 200 s, one worker"
    )?;
    writeln!(out, "  of each pool restarted every 60 s. Cores used: the actual use of the tasks.")?;
    writeln!(
        out,
        "  Shared writes: if all pools of a node shared one write per batch interval, {NODE_COUNT} nodes."
    )?;
    Ok(())
}

/// Adds the row of one policy; rates are per second of simulated time.
fn add_row(table: &mut Table, name: &str, tally: &Tally, seconds: u64) {
    let seconds_text = |millis: u64| format!("{:.2}", millis as f64 / 1000.0);
    // The baseline does not batch its writes, so it has no intervals to share.
    let shared = match tally.intervals.len() as u64 {
        0 => tally.writes,
        intervals => intervals,
    };
    let rate = |count: u64| format!("{:.1}", count as f64 / seconds as f64);
    table.row(&[
        &name,
        &tally.start_delays.len(),
        &seconds_text(tally.start_delays.value_at_quantile(0.5)),
        &seconds_text(tally.start_delays.value_at_quantile(0.99)),
        &seconds_text(tally.start_delays.max()),
        &tally.late,
        &tally.background_done,
        &crate::report::percent(tally.used_core_seconds / tally.core_seconds),
        &tally.memory_kills,
        &tally.unknown,
        &tally.lost,
        &rate(tally.writes),
        &rate(shared),
        &rate(tally.bytes / 1024),
    ]);
}
