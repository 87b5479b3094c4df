//! `config check`: checks files and starts nothing.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;
use vg_conf::lists::{self, Lists, Warning, warnings};
use vg_conf::settings::{RawSettings, Settings, SettingsError};
use vg_conf::{FileKind, detect_kind};

use crate::output::{Report, Style};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Checks lists and settings files; starts and changes nothing")
        .long_about(
            "Checks lists and settings files; starts and changes nothing. What a file is, its \
             first section tells. The two lists are checked together, so both are named.",
        )
        .arg(
            Arg::new("files")
                .value_name("FILES")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// What was found to be right.
#[derive(Debug, Serialize)]
struct Checked {
    plans: usize,
    pools: usize,
    queues: usize,
    settings: usize,
    #[serde(rename = "advice")]
    warnings: Vec<Warning>,
}

impl Report for Checked {
    fn text(&self, style: Style) -> String {
        let mut lines = String::new();
        if self.plans + self.pools + self.queues > 0 {
            let counts =
                format!("plans {}, pools {}, queues {}", self.plans, self.pools, self.queues);
            lines += &format!("{}: lists ({counts})\n", style.good("ok"));
        }
        if self.settings > 0 {
            lines += &format!("{}: settings (files {})\n", style.good("ok"), self.settings);
        }
        for each in &self.warnings {
            lines += &format!("{}: {each}\n", style.warn("note"));
        }
        lines
    }
}

pub(super) fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let files: Vec<PathBuf> = matches.get_many("files").into_iter().flatten().cloned().collect();
    let (mut plans, mut uses) = (None, None);
    let mut settings = 0;
    for path in &files {
        let text = session.file(path)?;
        let name = path.display().to_string();
        match detect_kind(&text) {
            FileKind::Plans => keep(&mut plans, text, &name)?,
            FileKind::Uses => keep(&mut uses, text, &name)?,
            FileKind::Settings => {
                check_settings(&name, &text)?;
                settings += 1;
            }
        }
    }
    let lists = check_lists(plans, uses)?;
    let (plans, pools) = (lists.plans.len(), lists.pools.len());
    let (queues, warnings) = (lists.queues.len(), warnings(&lists));
    session.show(&Checked { plans, pools, queues, settings, warnings })?;
    Ok(Exit::Success)
}

fn keep(slot: &mut Option<String>, text: String, name: &str) -> Result<(), Error> {
    match slot.replace(text) {
        None => Ok(()),
        Some(_) => Err(Error::usage(format!("{name} is a second file of the same list"))),
    }
}

fn check_settings(name: &str, text: &str) -> Result<(), Error> {
    let mut raw = RawSettings::default();
    raw.add_file(name, text);
    match Settings::from_raw(raw) {
        Ok(_) => Ok(()),
        Err(SettingsError::Invalid { diagnostics }) => Err(Error::Invalid { diagnostics }),
        Err(error) => Err(Error::usage(error.to_string())),
    }
}

fn check_lists(plans: Option<String>, uses: Option<String>) -> Result<Lists, Error> {
    match (plans, uses) {
        (None, None) => Ok(Lists::default()),
        (Some(plans), Some(uses)) => {
            lists::parse(&plans, &uses).map_err(|diagnostics| Error::Invalid { diagnostics })
        }
        (Some(_), None) => Err(Error::usage("name the file of the list `uses`, too")),
        (None, Some(_)) => Err(Error::usage("name the file of the list `plans`, too")),
    }
}
