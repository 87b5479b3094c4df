//! The subcommand `calls`: measures shares, deadlines, endpoint selection and retries of the
//! calls of one pool.

pub(crate) mod draw;
mod endpoints;
mod fcfs;
mod policy;
mod retries;
mod shares;
mod simulation;
mod site;
mod slope;
mod static_split;
mod tally;
mod trace;

use std::io::Write;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::Error;
use crate::report::{Table, percent};
use fcfs::Fcfs;
use policy::FairPolicy;
use simulation::Simulation;
use site::Site;
use static_split::StaticSplit;
use tally::Tally;
use trace::Trace;

/// Name of the subcommand.
pub const NAME: &str = "calls";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Measures shares, deadlines, endpoints and retries of one pool's calls")
        .arg(site_arg())
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of the random numbers")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Simulated time of each run, in seconds")
                .default_value("600")
                .value_parser(value_parser!(u64).range(30..)),
        )
}

/// Describes the flag that selects the deployment.
fn site_arg() -> Arg {
    Arg::new("site")
        .long("site")
        .help("Deployment to simulate")
        .default_value("recall")
        .value_parser(["recall", "signbridge"])
}

/// Runs the measurement and prints its report.
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
        "calls: site {name}, seed {seed}, {seconds} s of simulated time, {} slots, {} teams, {} queues",
        site.slots(),
        site.teams.len(),
        site.queues.len()
    )?;
    report_spikes(&site, seed, seconds, out)?;
    report_back_to_back_spikes(&site, seed, seconds, out)?;
    report_saturation(&site, seed, seconds, out)?;
    endpoints::report(&site, seed, out)?;
    retries::report(seed, out)?;
    slope::report(seed, out)?;
    Ok(())
}

/// Reports a load in which each queue in turn has a spike of five times its mean rate.
fn report_spikes(site: &Site, seed: u64, seconds: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(
        out,
        "\nspikes: each queue in turn at 5 times its mean rate, and at a twentieth in between"
    )?;
    let trace = Trace::spikes(site, seed, seconds);
    compare(site, &trace, out)
}

/// Reports the same load with the spikes of the urgent queues right after each other.
fn report_back_to_back_spikes(
    site: &Site,
    seed: u64,
    seconds: u64,
    out: &mut impl Write,
) -> Result<(), Error> {
    writeln!(
        out,
        "\nback to back: the same load, with the spikes of the urgent queues one after the other"
    )?;
    let site = site.urgent_first();
    let trace = Trace::spikes(&site, seed, seconds);
    compare(&site, &trace, out)
}

/// Reports a load in which every team always sends twice its share of the pool. One team
/// splits its calls over all queues, and another sends only urgent calls.
fn report_saturation(
    site: &Site,
    seed: u64,
    seconds: u64,
    out: &mut impl Write,
) -> Result<(), Error> {
    writeln!(
        out,
        "\nsaturated: every team sends twice its share; the first team sends only urgent calls,"
    )?;
    writeln!(
        out,
        "the second spreads its calls over all queues, the others send background calls"
    )?;
    let trace = Trace::saturated(site, seed, seconds);
    compare(site, &trace, out)
}

/// Runs a trace under each policy and writes the figures.
fn compare(site: &Site, trace: &Trace, out: &mut impl Write) -> Result<(), Error> {
    // The urgent calls that a pool without background calls answers on time are feasible.
    let urgent_alone = Simulation::new(site, &trace.urgent_only(), Fcfs::by_deadline(site)).run();
    let fair = Simulation::new(site, trace, FairPolicy::new(site)).run();
    let fcfs = Simulation::new(site, trace, Fcfs::by_arrival(site)).run();
    let split = Simulation::new(site, trace, StaticSplit::new(site)).run();
    let runs =
        [("verbenagap", &fair), ("first come first served", &fcfs), ("static split", &split)];
    let mut table = Table::new(&[
        "policy",
        "urgent sent",
        "feasible",
        "on time",
        "of feasible",
        "background on time",
        "use while waiting",
        "useful slot time",
        "full windows",
        "mean share error",
        "worst team",
        "worst window",
        "refused on arrival",
        "refused while waiting",
        "late",
    ]);
    for (name, tally) in runs {
        add_row(&mut table, name, tally, &urgent_alone);
    }
    table.write(out)?;
    writeln!(out, "\n  teams under verbenagap")?;
    let mut table =
        Table::new(&["team", "share", "used", "entitled", "mean error", "urgent on time"]);
    for each in fair.teams(site) {
        table.row(&[
            &each.name,
            &each.share,
            &percent(each.used),
            &percent(each.entitled),
            &percent(each.error),
            &each.on_time.map_or("-".to_owned(), percent),
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Adds the row of one policy. `urgent_alone` tells which urgent calls are feasible.
fn add_row(table: &mut Table, name: &str, tally: &Tally, urgent_alone: &Tally) {
    let feasible = tally.feasible(urgent_alone);
    table.row(&[
        &name,
        &tally.urgent.sent,
        &feasible.sent,
        &percent(tally.urgent.on_time_fraction()),
        &percent(feasible.on_time_fraction()),
        &percent(tally.background.on_time_fraction()),
        &percent(tally.use_fraction()),
        &percent(tally.useful_fraction()),
        &tally.errors.full_windows(),
        &percent(tally.errors.mean()),
        &percent(tally.errors.worst_team()),
        &percent(tally.errors.worst_window()),
        &tally.refused_on_arrival,
        &tally.refused_waiting,
        &tally.late,
    ]);
}
