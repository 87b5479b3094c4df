//! Maintenance waves and moves over six weeks of model time.

mod fixed;
mod planned;
mod policy;
mod site;
mod tally;
mod world;

use std::io::Write;
use std::time::Instant;

use clap::{Arg, ArgMatches, Command, value_parser};
use vg_conf::Pool;

use crate::Error;
use crate::report::Table;
use fixed::{Fixed, Group};
use planned::Planned;
use policy::{Policy, Seen};
use site::{PERIOD, RACK_HOSTS, Site};
use tally::Tally;
use world::{DAY_STEPS, World};

/// Name of the subcommand.
pub const NAME: &str = "fleet";

/// Day on which operators shift hosts between pools.
const SHIFT_DAY: u64 = 28;
/// Steps in which all hosts are new and not proved.
const START_STEPS: u64 = 3;
/// Sizes of the fleet for the slope of a round's time.
const SLOPE_HOSTS: [usize; 3] = [150, 300, 600];

/// Describes the subcommand.
pub fn command() -> Command {
    let site = Arg::new("site")
        .long("site")
        .help("Deployment that is modelled")
        .default_value("target")
        .value_parser(["recall", "signbridge", "target"]);
    let seed = Arg::new("seed")
        .long("seed")
        .help("Seed of all draws")
        .default_value("1")
        .value_parser(value_parser!(u64));
    let days = Arg::new("days")
        .long("days")
        .help("Model time of each run, in days")
        .default_value("42")
        .value_parser(value_parser!(u64).range(1..=84));
    Command::new(NAME)
        .about("Buffer cost, roll-out time, moves and budgets of maintenance")
        .args([site, seed, days])
}

/// Runs the measurement and prints its report.
///
/// # Errors
///
/// When the report can't be written.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let site = matches.get_one::<String>("site").map_or("target", String::as_str);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let days = matches.get_one::<u64>("days").copied().unwrap_or(42);
    let model = Site::named(site).ok_or_else(|| Error::Argument { what: site.to_owned() })?;
    let (hosts, pools) = (model.hosts, model.pools.len());
    writeln!(out, "fleet: site {site}, {hosts} hosts, {pools} pools, {days} days, seed {seed}")?;
    let mut racks = Fixed::new(Group::Rack, hosts.div_ceil(RACK_HOSTS), PERIOD);
    let mut singles = Fixed::new(Group::Host, hosts, PERIOD);
    let mut alone = model.clone();
    alone.pools.iter_mut().for_each(|pool| pool.spare = false);
    let runs = [
        ("planner", drive(&model, &mut Planned::new(), seed, days)),
        ("planner, no lending", drive(&alone, &mut Planned::new(), seed, days)),
        ("one rack at a time", drive(&model, &mut racks, seed, days)),
        ("one host at a time", drive(&model, &mut singles, seed, days)),
    ];
    costs(&model, &runs, out)?;
    promises(&runs, out)?;
    writeln!(out, "moves for good: at least {} (hosts that pools lack)", shift_bound(&model))?;
    slope(seed, out)
}

fn costs(site: &Site, runs: &[(&str, Tally)], out: &mut impl Write) -> Result<(), Error> {
    let mut table = Table::new(&[
        "policy",
        "maintained",
        "idle host-h",
        "lent host-h",
        "cycle h",
        "waves",
        "roll-out h",
        "bound h",
        "moves",
        "loans",
        "cancelled",
    ]);
    for (name, tally) in runs {
        let bound = tally.bound_hours(|pool| width(site, pool));
        table.row(&[
            name,
            &tally.maintained,
            &format!("{:.1}", tally.idle_hours()),
            &format!("{:.2}", tally.idle_hours() / tally.maintained.max(1) as f64),
            &format!("{:.1}", tally.lent_hours()),
            &format!("{:.2}", tally.cycle_hours()),
            &tally.waves(),
            &format!("{:.1}", tally.rollout_hours()),
            &format!("{bound:.1}"),
            &tally.moves,
            &tally.loans,
            &tally.cancelled,
        ]);
    }
    Ok(table.write(out)?)
}

fn promises(runs: &[(&str, Tally)], out: &mut impl Write) -> Result<(), Error> {
    let mut table = Table::new(&[
        "policy",
        "breaking drains",
        "below, planned away",
        "below, failures only",
        "past period",
        "round mean us",
        "round max us",
    ]);
    for (name, tally) in runs {
        let mean = tally.time.as_micros() / u128::from(tally.rounds.max(1));
        table.row(&[
            name,
            &tally.breaking,
            &tally.broken,
            &tally.failed,
            &tally.late.len(),
            &mean,
            &tally.longest.as_micros(),
        ]);
    }
    Ok(table.write(out)?)
}

fn slope(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    let mut table = Table::new(&["hosts", "round mean us", "round max us"]);
    for hosts in SLOPE_HOSTS {
        let tally = drive(&Site::target(hosts), &mut Planned::new(), seed, 7);
        let mean = tally.time.as_micros() / u128::from(tally.rounds.max(1));
        table.row(&[&hosts, &mean, &tally.longest.as_micros()]);
    }
    Ok(table.write(out)?)
}

fn drive(site: &Site, policy: &mut impl Policy, seed: u64, days: u64) -> Tally {
    let mut world = World::new(site, seed);
    let mut pools = site.pools.clone();
    let mut tally = Tally::default();
    for _ in 0..days * DAY_STEPS {
        if world.step == SHIFT_DAY * DAY_STEPS {
            shift(&mut pools);
        }
        let (listed, reports) = (world.listed(), world.reports());
        let seen = Seen { pools: &pools, listed: &listed, reports: &reports, now: world.now() };
        let begun = Instant::now();
        let steps = policy.round(&seen);
        tally.round(begun.elapsed());
        tally.steps(&world, &pools, policy.hosts(), &steps);
        if world.step >= START_STEPS {
            tally.state(&world, &pools, policy.hosts());
        }
        world.advance(|host| policy.hosts().get(host));
    }
    tally
}

/// Operators want a host less in each second pool, and one more in the others.
fn shift(pools: &mut [Pool]) {
    for pair in pools.chunks_exact_mut(2).filter(|pair| pair.iter().all(|pool| !pool.spare)) {
        pair[0].hosts -= 1;
        pair[1].hosts += 1;
    }
}

fn shift_bound(site: &Site) -> u64 {
    let mut pools = site.pools.clone();
    shift(&mut pools);
    let lacks = pools.iter().zip(&site.pools).map(|(new, old)| new.hosts.saturating_sub(old.hosts));
    lacks.map(u64::from).sum()
}

/// Hosts of a pool that may be away at once, with room for the next rack.
fn width(site: &Site, pool: &vg_base::PoolId) -> u64 {
    let budget = site.pools.iter().find(|each| each.id == *pool).map_or(1, |each| each.budget);
    u64::from(budget.saturating_sub(1))
}
