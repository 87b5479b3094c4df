//! The subcommand `fleet`: measures maintenance waves and moves over six weeks of simulated
//! time.

mod fixed_waves;
mod model;
mod planner;
mod policy;
mod site;
mod tally;

use std::io::Write;
use std::time::Instant;

use clap::{Arg, ArgMatches, Command, value_parser};
use vg_conf::Pool;

use crate::Error;
use crate::report::Table;
use fixed_waves::{FixedWaves, WaveGroup};
use model::{DAY_STEPS, FleetModel};
use planner::PlannerPolicy;
use policy::{Policy, RoundInput};
use site::{HOSTS_PER_RACK, PERIOD, Site};
use tally::Tally;

/// Name of the subcommand.
pub const NAME: &str = "fleet";

/// Day on which operators change the sizes of pools.
const CHANGE_DAY: u64 = 28;
/// Steps at the start in which all hosts are new and not yet verified. They are not counted.
const START_STEPS: u64 = 3;
/// Numbers of hosts for which the time of a round is measured.
const SLOPE_HOST_COUNTS: [usize; 3] = [150, 300, 600];

/// Describes the subcommand.
pub fn command() -> Command {
    let site = Arg::new("site")
        .long("site")
        .help("Deployment to simulate")
        .default_value("target")
        .value_parser(["recall", "signbridge", "target"]);
    let seed = Arg::new("seed")
        .long("seed")
        .help("Seed of the random numbers")
        .default_value("1")
        .value_parser(value_parser!(u64));
    let days = Arg::new("days")
        .long("days")
        .help("Simulated time of each run, in days")
        .default_value("42")
        .value_parser(value_parser!(u64).range(1..=84));
    Command::new(NAME)
        .about("Measures idle time, roll-out time, moves and budgets of maintenance")
        .args([site, seed, days])
}

/// Runs the measurement and prints its report.
///
/// # Errors
///
/// If the site is unknown or the report cannot be written.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let site = matches.get_one::<String>("site").map_or("target", String::as_str);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let days = matches.get_one::<u64>("days").copied().unwrap_or(42);
    let model = Site::named(site).ok_or_else(|| Error::Argument { what: site.to_owned() })?;
    let (hosts, pools) = (model.hosts, model.pools.len());
    writeln!(out, "fleet: site {site}, {hosts} hosts, {pools} pools, {days} days, seed {seed}")?;
    let mut by_rack = FixedWaves::new(WaveGroup::Rack, hosts.div_ceil(HOSTS_PER_RACK), PERIOD);
    let mut by_host = FixedWaves::new(WaveGroup::Host, hosts, PERIOD);
    let mut without_lending = model.clone();
    without_lending.pools.iter_mut().for_each(|pool| pool.spare = false);
    let runs = [
        ("planner", simulate(&model, &mut PlannerPolicy::new(), seed, days)),
        ("planner, no lending", simulate(&without_lending, &mut PlannerPolicy::new(), seed, days)),
        ("one rack at a time", simulate(&model, &mut by_rack, seed, days)),
        ("one host at a time", simulate(&model, &mut by_host, seed, days)),
    ];
    write_costs(&model, &runs, out)?;
    write_guarantees(&runs, out)?;
    writeln!(
        out,
        "permanent moves: at least {} (hosts that pools lack after the change)",
        min_moves(&model)
    )?;
    write_slope(seed, out)
}

/// Writes the cost of maintenance under each policy.
fn write_costs(site: &Site, runs: &[(&str, Tally)], out: &mut impl Write) -> Result<(), Error> {
    let mut table = Table::new(&[
        "policy",
        "maintained",
        "idle host-h",
        "lent host-h",
        "cycle h",
        "waves",
        "wave h",
        "min wave h",
        "moves",
        "loans",
        "cancelled",
    ]);
    for (name, tally) in runs {
        let bound = tally.min_wave_hours(|pool| maintenance_width(site, pool));
        table.row(&[
            name,
            &tally.maintained,
            &format!("{:.1}", tally.idle_hours()),
            &format!("{:.2}", tally.idle_hours() / tally.maintained.max(1) as f64),
            &format!("{:.1}", tally.lent_hours()),
            &format!("{:.2}", tally.cycle_hours()),
            &tally.waves(),
            &format!("{:.1}", tally.wave_hours()),
            &format!("{bound:.1}"),
            &tally.moves,
            &tally.loans,
            &tally.cancelled,
        ]);
    }
    Ok(table.write(out)?)
}

/// Writes how well each policy keeps budgets and periods, and the time of its rounds.
fn write_guarantees(runs: &[(&str, Tally)], out: &mut impl Write) -> Result<(), Error> {
    let mut table = Table::new(&[
        "policy",
        "budget violations",
        "below, planned",
        "below, failures only",
        "overdue",
        "round mean us",
        "round max us",
    ]);
    for (name, tally) in runs {
        let mean = tally.round_time.as_micros() / u128::from(tally.rounds.max(1));
        table.row(&[
            name,
            &tally.budget_violations,
            &tally.planned_shortfalls,
            &tally.failure_shortfalls,
            &tally.overdue.len(),
            &mean,
            &tally.max_round_time.as_micros(),
        ]);
    }
    Ok(table.write(out)?)
}

/// Writes the time of the planner's rounds by the number of hosts.
fn write_slope(seed: u64, out: &mut impl Write) -> Result<(), Error> {
    let mut table = Table::new(&["hosts", "round mean us", "round max us"]);
    for hosts in SLOPE_HOST_COUNTS {
        let tally = simulate(&Site::target(hosts), &mut PlannerPolicy::new(), seed, 7);
        let mean = tally.round_time.as_micros() / u128::from(tally.rounds.max(1));
        table.row(&[&hosts, &mean, &tally.max_round_time.as_micros()]);
    }
    Ok(table.write(out)?)
}

/// Simulates a deployment under a policy and returns the figures.
fn simulate(site: &Site, policy: &mut impl Policy, seed: u64, days: u64) -> Tally {
    let mut model = FleetModel::new(site, seed);
    let mut pools = site.pools.clone();
    let mut tally = Tally::default();
    for _ in 0..days * DAY_STEPS {
        if model.step == CHANGE_DAY * DAY_STEPS {
            change_pool_sizes(&mut pools);
        }
        let (listed, reports) = (model.listed(), model.reports());
        let input =
            RoundInput { pools: &pools, listed: &listed, reports: &reports, now: model.now() };
        let started = Instant::now();
        let transitions = policy.run_round(&input);
        tally.add_round(started.elapsed());
        tally.add_transitions(&model, &pools, policy.hosts(), &transitions);
        if model.step >= START_STEPS {
            tally.add_step(&model, &pools, policy.hosts());
        }
        model.advance(|host| policy.hosts().get(host));
    }
    tally
}

/// Makes the first pool of each pair of neighbouring pools one host smaller and the second one
/// host larger, as operators do. Pairs that have a pool of spare hosts stay unchanged.
fn change_pool_sizes(pools: &mut [Pool]) {
    for pair in pools.chunks_exact_mut(2).filter(|pair| pair.iter().all(|pool| !pool.spare)) {
        pair[0].hosts -= 1;
        pair[1].hosts += 1;
    }
}

/// Returns the smallest number of moves that the change of the pool sizes needs.
fn min_moves(site: &Site) -> u64 {
    let mut pools = site.pools.clone();
    change_pool_sizes(&mut pools);
    let missing =
        pools.iter().zip(&site.pools).map(|(new, old)| new.hosts.saturating_sub(old.hosts));
    missing.map(u64::from).sum()
}

/// Returns the number of hosts of a pool that may be maintained at once. This is one less than
/// the budget, which leaves room for a host of the next rack.
fn maintenance_width(site: &Site, pool: &vg_base::PoolId) -> u64 {
    let budget = site.pools.iter().find(|each| each.id == *pool).map_or(1, |each| each.budget);
    u64::from(budget.saturating_sub(1))
}
