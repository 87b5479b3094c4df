//! Flags of the demo.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use vg_conf::examples::{Example, RECALL, SIGNBRIDGE};

/// What the demo is asked for.
#[derive(Debug, Clone)]
pub(super) struct DemoOptions {
    /// The lists.
    pub(super) example: Example,
    /// Name of the lists.
    pub(super) site: String,
    /// Seed of the load.
    pub(super) seed: u64,
    /// Where the time line is written.
    pub(super) timeline: PathBuf,
}

/// Returns the command.
pub(super) fn command() -> Command {
    Command::new("demo")
        .about("Runs a whole site in one process and checks every promise; ends by itself")
        .arg(
            Arg::new("site")
                .long("site")
                .value_name("SITE")
                .value_parser(["recall", "signbridge"])
                .default_value("recall")
                .help("Whose lists to run"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the load"),
        )
        .arg(
            Arg::new("timeline")
                .long("timeline")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Where to write the time line [default: a file for temporary data]"),
        )
}

impl From<&ArgMatches> for DemoOptions {
    fn from(matches: &ArgMatches) -> DemoOptions {
        let site = matches.get_one::<String>("site").cloned().unwrap_or_default();
        let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
        let name = format!("verbenagap-demo-{site}-{seed}.json");
        let timeline = matches.get_one::<PathBuf>("timeline").cloned();
        DemoOptions {
            example: if site == "signbridge" { SIGNBRIDGE } else { RECALL },
            timeline: timeline.unwrap_or_else(|| std::env::temp_dir().join(name)),
            site,
            seed,
        }
    }
}
