//! Jobs: urgent starts, packing, store writes, quarantine and recovery.

mod cluster;
mod naive;
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
use naive::Naive;
use pool::{Faults, Pool};
use site::Site;
use tally::Tally;

/// Entry hosts that the pools are spread over.
const NODES: usize = 9;

/// Name of the subcommand.
pub const NAME: &str = "jobs";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Urgent starts, packing, store writes, quarantine and recovery of jobs")
        .arg(
            Arg::new("site")
                .long("site")
                .help("Deployment that is modelled")
                .default_value("recall")
                .value_parser(["recall", "signbridge", "target"]),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of all draws")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Model time of each run, in seconds")
                .default_value("600")
                .value_parser(value_parser!(u64).range(60..)),
        )
}

/// Runs the measurement and prints its report.
///
/// # Errors
///
/// When an argument has no meaning or the report can't be written.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let name = matches.get_one::<String>("site").map_or("recall", String::as_str);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(600);
    let site = Site::named(name)
        .ok_or_else(|| Error::Argument { what: format!("no site is named {name}") })?;
    writeln!(
        out,
        "jobs: site {name}, seed {seed}, {seconds} s of model time, {} pools, {} workers, {} accelerators, {} teams",
        site.pools.len(),
        site.workers(),
        site.accelerators(),
        site.teams
    )?;
    starts(&site, seed, seconds, out)?;
    packing::report(&site, seed, out)?;
    quarantine::report(&site, seed, out)?;
    slope::report(seed, out)?;
    recovery::report(seed, out)
}

/// Urgent jobs spike while background jobs fill the pools.
fn starts(site: &Site, seed: u64, seconds: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(
        out,
        "\nstarts: urgent jobs at 5 times their mean for 5 s a minute, background fills;"
    )?;
    writeln!(out, "time from submission to the start on a worker, in model seconds")?;
    let run = |faults: Faults| -> Tally {
        let pools = site.pools.iter().enumerate();
        let one = |(at, pool)| {
            let node = at % NODES;
            Pool::new(site, pool, node, seed + at as u64, seconds, faults).run(seconds)
        };
        pools.map(one).sum()
    };
    let naive = || -> Tally {
        let pools = site.pools.iter().enumerate();
        let one = |(at, pool)| Naive::new(site, pool, seed + at as u64, seconds).run(seconds);
        pools.map(one).sum()
    };
    let mut table = Table::new(&[
        "policy",
        "urgent",
        "p50",
        "p99",
        "max",
        "over 3.8 s",
        "background ended",
        "cores used",
        "out of memory",
        "unknown",
        "lost",
        "writes/s",
        "shared writes/s",
        "KB/s",
    ]);
    add_row(&mut table, "verbenagap", &run(Faults::None), seconds);
    add_row(&mut table, "the same under faults", &run(Faults::All), seconds);
    add_row(&mut table, "first fit, one write a change", &naive(), seconds);
    table.write(out)?;
    writeln!(
        out,
        "  faults: owner lost every 120 s for 6 s, store down 10 s every 200 s, a worker"
    )?;
    writeln!(
        out,
        "  of each pool restarted every 60 s. Cores used are those that tasks really use."
    )?;
    writeln!(
        out,
        "  Shared writes: one for all of a node's pools in a batch period, {NODES} nodes."
    )?;
    Ok(())
}

fn add_row(table: &mut Table, name: &str, tally: &Tally, seconds: u64) {
    let second = |millis: u64| format!("{:.2}", millis as f64 / 1000.0);
    // Without periods there is nothing to share.
    let shared = match tally.periods.len() as u64 {
        0 => tally.writes,
        periods => periods,
    };
    let rate = |count: u64| format!("{:.1}", count as f64 / seconds as f64);
    table.row(&[
        &name,
        &tally.starts.len(),
        &second(tally.starts.value_at_quantile(0.5)),
        &second(tally.starts.value_at_quantile(0.99)),
        &second(tally.starts.max()),
        &tally.late,
        &tally.background,
        &crate::report::percent(tally.used / tally.capacity),
        &tally.killed,
        &tally.unknown,
        &tally.lost,
        &rate(tally.writes),
        &rate(shared),
        &rate(tally.bytes / 1024),
    ]);
}
