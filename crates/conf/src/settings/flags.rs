//! Flags made from the table of settings.

use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use snafu::ResultExt;

use crate::settings::error::ReadSnafu;
use crate::settings::{RawSettings, Settings, SettingsError, TABLE};

const CONFIG: &str = "config";

/// Adds `--config FILE` and a flag for each setting to a command.
///
/// Values are not checked by `clap`: they are checked together with the file,
/// so that all diagnostics are reported at once.
pub fn command(command: Command) -> Command {
    let file = Arg::new(CONFIG)
        .long(CONFIG)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Settings file; flags go before it");
    TABLE.iter().fold(command.arg(file), |command, setting| {
        let default = setting.default.map(|text| format!(" [default: {text}]"));
        let help = format!("{}{}", setting.help(), default.unwrap_or_default());
        command.arg(
            Arg::new(setting.name)
                .long(setting.name)
                .value_name("VALUE")
                .help(help)
                .help_heading(setting.section),
        )
    })
}

/// Reads the settings file, if one is named, and the flags.
///
/// # Errors
///
/// [`SettingsError`] with all that is wrong.
pub fn load(matches: &ArgMatches) -> Result<Settings, SettingsError> {
    let mut raw = RawSettings::default();
    if let Some(path) = matches.get_one::<PathBuf>(CONFIG) {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        raw.add_file(&path.display().to_string(), &text);
    }
    for setting in TABLE {
        if let Some(text) = matches.get_one::<String>(setting.name) {
            raw.add_flag(setting.name, text);
        }
    }
    Settings::from_raw(raw)
}
