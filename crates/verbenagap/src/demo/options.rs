//! Command line flags of the demo.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use vg_conf::examples::{Example, RECALL, SIGNBRIDGE};

/// The options of the demo.
#[derive(Debug, Clone)]
pub(super) struct DemoOptions {
    /// The example lists that the site uses.
    pub(super) example: Example,
    /// The name of the example.
    pub(super) site: String,
    /// The seed of the random load.
    pub(super) seed: u64,
    /// The file that the time line is written to.
    pub(super) timeline: PathBuf,
}

/// Describes the command.
pub(super) fn command() -> Command {
    Command::new("demo")
        .about("Runs a complete site in one process, checks its guarantees and exits")
        .arg(
            Arg::new("site")
                .long("site")
                .value_name("SITE")
                .value_parser(["recall", "signbridge"])
                .default_value("recall")
                .help("The example whose lists to use"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the random load"),
        )
        .arg(
            Arg::new("timeline")
                .long("timeline")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File to write the time line to [default: a temporary file]"),
        )
}

impl From<&ArgMatches> for DemoOptions {
    fn from(matches: &ArgMatches) -> DemoOptions {
        let site = matches.get_one::<String>("site").cloned().unwrap_or_default();
        let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
        let default_name = format!("verbenagap-demo-{site}-{seed}.json");
        let timeline = matches.get_one::<PathBuf>("timeline").cloned();
        DemoOptions {
            example: if site == "signbridge" { SIGNBRIDGE } else { RECALL },
            timeline: timeline.unwrap_or_else(|| std::env::temp_dir().join(default_name)),
            site,
            seed,
        }
    }
}
