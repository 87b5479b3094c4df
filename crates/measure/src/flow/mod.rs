//! The subcommand `flow`: replays a list of arrivals through the scheduler of jobs and
//! through simple orders, and compares what they serve in time.

pub mod arrivals;
pub mod baselines;
pub mod bound;

pub mod rounds;
pub mod simulation;
pub mod table;

use std::io::Write;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::Error;
pub use arrivals::{Arrival, ArrivalStep, Scenario, Settings, Workload};
pub use baselines::Order;
pub use simulation::Simulation;
pub use table::{Figure, Served};

/// Name of the subcommand.
pub const NAME: &str = "flow";

/// Describes the subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).default_value(value)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
    };
    let whole = || value_parser!(u64).range(1..);
    Command::new(NAME)
        .about("Replays arrivals of jobs through the scheduler, simple orders and a bound")
        .arg(number("scenario", "turns", "What arrives").value_parser([
            "turns",
            "hot-account",
            "large-burst",
        ]))
        .arg(number("workers", "200", "Workers of all pools together").value_parser(whole()))
        .arg(number("teams", "20", "Number of accounts").value_parser(whole()))
        .arg(number("seconds", "48", "Time in which jobs arrive").value_parser(whole()))
        .arg(number("seed", "1", "Seed of the random numbers").value_parser(value_parser!(u64)))
        .arg(
            number("load", "2", "Work that a queue sends at its peak over its pool's capacity")
                .value_parser(parse_load),
        )
        .arg(
            Arg::new("recorded")
                .long("recorded")
                .value_name("FILE")
                .help("JSON list of arrivals, instead of a scenario")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(flag("estimated-objectives", "Objectives follow from estimates, not true durations"))
        .arg(flag("json", "Print the figures as JSON"))
        .arg(flag("rounds", "Only measure the time of a round of decisions"))
}

/// Runs the replay and prints its report.
///
/// # Errors
///
/// If the recorded arrivals cannot be read or the report cannot be written.
pub fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let settings = settings(matches);
    if matches.get_flag("rounds") {
        return rounds::report(settings.seed, out);
    }
    let workload = match matches.get_one::<PathBuf>("recorded") {
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|error| Error::Argument {
                what: format!("cannot read {}: {error}", file.display()),
            })?;
            Workload::recorded(&text, settings.workers)?
        }
        None => Workload::draw(&settings),
    };
    if workload.arrivals.is_empty() {
        return Err(Error::Argument { what: "there are no arrivals".into() });
    }
    let policies = compare(&workload);
    if matches.get_flag("json") {
        writeln!(out, "{:#}", table::json(&policies))?;
        return Ok(());
    }
    writeln!(
        out,
        "flow: {} jobs of {} accounts, {} workers in each of {} pools, seed {}",
        workload.arrivals.len(),
        workload.shares.len(),
        workload.pool_workers,
        workload.queues().len(),
        settings.seed
    )?;
    Ok(table::write(&policies, out)?)
}

/// Replays a workload through all policies and returns their figures.
pub fn compare(workload: &Workload) -> Vec<(&'static str, Vec<Figure>)> {
    let simulation = Simulation::replay(workload);
    let figures = |served: &Served| table::figures(workload, served);
    let listed = |order| figures(&Served::from_ends(workload, &baselines::replay(workload, order)));
    let mut scheduler = figures(&Served::from_ends(workload, &simulation.ended_ms));
    let longest = simulation.rounds.iter().max().copied().unwrap_or_default();
    let value = longest.as_secs_f64() * 1e3;
    scheduler.push(Figure { name: "longest round, ms".into(), value });
    let counts = simulation.scheduler.counts();
    let value = counts.stops as f64 / counts.starts.max(1) as f64;
    scheduler.push(Figure { name: "stop commands / starts".into(), value });
    vec![
        ("scheduler", scheduler),
        ("FCFS", listed(Order::Fcfs)),
        ("EDF", listed(Order::Edf)),
        ("earlier rank", listed(Order::Value)),
        ("bound", figures(&bound::serve(workload))),
    ]
}

/// Largest load, beyond which a run takes hours.
const MAX_LOAD: f64 = 100.0;

fn parse_load(text: &str) -> Result<f64, String> {
    let load = text.parse::<f64>().map_err(|error| error.to_string())?;
    let is_valid = load > 0.0 && load <= MAX_LOAD;
    is_valid.then_some(load).ok_or(format!("it has to be above 0 and at most {MAX_LOAD}"))
}

fn settings(matches: &ArgMatches) -> Settings {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let scenario = match matches.get_one::<String>("scenario").map(String::as_str) {
        Some("hot-account") => Scenario::HotAccount,
        Some("large-burst") => Scenario::LargeBurst,
        _ => Scenario::Turns,
    };
    Settings {
        scenario,
        workers: number("workers") as usize,
        teams: number("teams") as usize,
        seconds: number("seconds"),
        seed: number("seed"),
        estimated_objectives: matches.get_flag("estimated-objectives"),
        load: matches.get_one::<f64>("load").copied().unwrap_or(2.0),
    }
}
