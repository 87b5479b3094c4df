//! The files of the two lists.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, value_parser};
use vg_conf::{Lists, lists};

use crate::session::Session;
use crate::{Error, Platform, System};

/// Texts of both lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Pair {
    /// The list `plans`.
    pub(crate) plans: String,
    /// The list `uses`.
    pub(crate) uses: String,
}

impl Pair {
    /// Returns the arguments that name the files.
    pub(crate) fn args() -> [Arg; 2] {
        let file = |id: &'static str, name: &'static str, help: &'static str| {
            Arg::new(id)
                .value_name(name)
                .help(help)
                .required(true)
                .value_parser(value_parser!(PathBuf))
        };
        [
            file("plans", "PLANS", "File of the list `plans`"),
            file("uses", "USES", "File of the list `uses`"),
        ]
    }

    /// Reads the files that the arguments name.
    pub(crate) fn read<P: Platform, Y: System>(
        session: &Session<'_, '_, P, Y>,
        matches: &ArgMatches,
    ) -> Result<Pair, Error> {
        let file = |id: &str| match matches.get_one::<PathBuf>(id) {
            Some(path) => session.file(path),
            None => Err(Error::usage(format!("the file of the list `{id}` is not named"))),
        };
        Ok(Pair { plans: file("plans")?, uses: file("uses")? })
    }

    /// Parses both lists.
    pub(crate) fn lists(&self) -> Result<Lists, Error> {
        lists::parse(&self.plans, &self.uses).map_err(|diagnostics| Error::Invalid { diagnostics })
    }
}
