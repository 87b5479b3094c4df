//! `key grant` and `key withdraw`: edit the list `plans` and apply it.

use clap::{Arg, ArgMatches, Command};
use vg_base::prelude::*;
use vg_conf::KeyDigest;
use vg_conf::lists::{grant_key, withdraw_key};

use crate::config::{WaitOptions, author, author_arg, edit_plans};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn grant_command() -> Command {
    Command::new("grant").about("Grants a team a key by its digest").args(args())
}

pub(super) fn withdraw_command() -> Command {
    Command::new("withdraw").about("Withdraws a key from a team by its digest").args(args())
}

fn args() -> Vec<Arg> {
    let team = Arg::new("team").value_name("TEAM").required(true).help("The team");
    let digest =
        Arg::new("digest").value_name("DIGEST").required(true).help("`sha256:` and digits");
    [team, digest, author_arg()].into_iter().chain(WaitOptions::args()).collect()
}

pub(super) async fn run_grant<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let (team, digest) = read(matches)?;
    let author = author(session, matches)?;
    let wait = WaitOptions::read(matches)?;
    edit_plans(session, author, wait, |plans| grant_key(plans, &team, digest)).await
}

pub(super) async fn run_withdraw<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let (team, digest) = read(matches)?;
    let author = author(session, matches)?;
    let wait = WaitOptions::read(matches)?;
    edit_plans(session, author, wait, |plans| withdraw_key(plans, &team, digest)).await
}

fn read(matches: &ArgMatches) -> Result<(TeamId, KeyDigest), Error> {
    let text = |name: &str| matches.get_one::<String>(name).map(String::as_str).unwrap_or_default();
    let team = text("team").parse().map_err(|e| Error::usage(format!("TEAM: {e}")))?;
    // The argument may be a key by mistake, so it is not repeated.
    let digest = text("digest").parse().map_err(|e| Error::usage(format!("DIGEST: {e}")))?;
    Ok((team, digest))
}
