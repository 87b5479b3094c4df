//! Calls: shares, deadlines, endpoints and retries of one pool.

pub(crate) mod draw;
mod endpoints;
mod fcfs;
mod policy;
mod retries;
mod shares;
mod sim;
mod site;
mod slope;
mod split;
mod tally;
mod trace;

use std::io::Write;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::Error;
use crate::report::{Table, percent};
use fcfs::Fcfs;
use policy::Fair;
use sim::Sim;
use site::Site;
use split::Split;
use tally::Tally;
use trace::Trace;

/// Name of the subcommand.
pub const NAME: &str = "calls";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Shares, deadlines, endpoints and retries of one pool's calls")
        .arg(site_arg())
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
                .value_parser(value_parser!(u64).range(30..)),
        )
}

/// The deployment that is modelled.
fn site_arg() -> Arg {
    Arg::new("site")
        .long("site")
        .help("Deployment that is modelled")
        .default_value("recall")
        .value_parser(["recall", "signbridge"])
}

/// Runs the measurement and prints its report.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let name = matches.get_one::<String>("site").map_or("recall", String::as_str);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(600);
    let site = Site::named(name)
        .ok_or_else(|| Error::Argument { what: format!("no site is named {name}") })?;
    writeln!(
        out,
        "calls: site {name}, seed {seed}, {seconds} s of model time, {} slots, {} teams, {} queues",
        site.slots(),
        site.teams.len(),
        site.queues.len()
    )?;
    spikes(&site, seed, seconds, out)?;
    back_to_back(&site, seed, seconds, out)?;
    saturated(&site, seed, seconds, out)?;
    endpoints::report(&site, seed, out)?;
    retries::report(seed, out)?;
    slope::report(seed, out)?;
    Ok(())
}

/// Every queue in turn spikes to five times its mean.
fn spikes(site: &Site, seed: u64, seconds: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nspikes: each queue in turn at 5 times its mean, a twentieth in between")?;
    let trace = Trace::spikes(site, seed, seconds);
    compare(site, &trace, out)
}

/// The same, with the spikes of the urgent queues one after the other.
fn back_to_back(site: &Site, seed: u64, seconds: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nback to back: the same, the urgent queues spike one after the other")?;
    let site = site.urgent_first();
    let trace = Trace::spikes(&site, seed, seconds);
    compare(&site, &trace, out)
}

/// All teams send more than the pool holds, all the time. One splits its work
/// over all queues, one marks all of it urgent.
fn saturated(site: &Site, seed: u64, seconds: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nsaturated: every team wants more than its share; `split` teams spread over")?;
    writeln!(out, "all queues, `urgent` teams mark everything urgent, others send background")?;
    let trace = Trace::saturated(site, seed, seconds);
    compare(site, &trace, out)
}

fn compare(site: &Site, trace: &Trace, out: &mut impl Write) -> Result<(), Error> {
    // What a pool that served urgent work alone would do on time.
    let urgent = Sim::new(site, &trace.urgent_only(), Fcfs::by_deadline(site)).run();
    let fair = Sim::new(site, trace, Fair::new(site)).run();
    let fcfs = Sim::new(site, trace, Fcfs::by_arrival(site)).run();
    let split = Sim::new(site, trace, Split::new(site)).run();
    let runs =
        [("verbenagap", &fair), ("first come first served", &fcfs), ("static split", &split)];
    let mut table = Table::new(&[
        "policy",
        "urgent sent",
        "carriable",
        "on time",
        "of carriable",
        "background on time",
        "use under demand",
        "useful slot time",
        "full windows",
        "mean share error",
        "worst team",
        "worst window",
        "refused at offer",
        "refused while waiting",
        "late",
    ]);
    for (name, tally) in runs {
        add_row(&mut table, name, tally, &urgent);
    }
    table.write(out)?;
    writeln!(out, "\n  teams under verbenagap")?;
    let mut table = Table::new(&["team", "share", "used", "due", "mean error", "urgent on time"]);
    for each in fair.teams(site) {
        table.row(&[
            &each.name,
            &each.share,
            &percent(each.used),
            &percent(each.due),
            &percent(each.error),
            &each.on_time.map_or("-".to_owned(), percent),
        ]);
    }
    table.write(out)?;
    Ok(())
}

fn add_row(table: &mut Table, name: &str, tally: &Tally, urgent: &Tally) {
    let carriable = tally.carriable(urgent);
    table.row(&[
        &name,
        &tally.urgent.sent,
        &carriable.sent,
        &percent(tally.urgent.on_time_part()),
        &percent(carriable.on_time_part()),
        &percent(tally.background.on_time_part()),
        &percent(tally.use_part()),
        &percent(tally.useful_part()),
        &tally.errors.windows(),
        &percent(tally.errors.mean()),
        &percent(tally.errors.worst_team()),
        &percent(tally.errors.worst()),
        &tally.refused_early,
        &tally.refused_waiting,
        &tally.late,
    ]);
}
