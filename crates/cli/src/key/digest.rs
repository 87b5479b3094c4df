//! `key digest`: gives the digest of a key on standard input.

use clap::Command;
use serde::Serialize;
use vg_conf::KeyDigest;

use crate::output::{Report, Style};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("digest").about("Prints the digest of the key on standard input")
}

/// A digest.
#[derive(Debug, Serialize)]
struct Digested {
    digest: KeyDigest,
}

impl Report for Digested {
    fn text(&self, _: Style) -> String {
        format!("{}\n", self.digest)
    }
}

pub(super) fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
) -> Result<Exit, Error> {
    let refused = || Error::usage("standard input is not a key; give it as one line of text");
    let text = String::from_utf8(session.input()?).map_err(|_| refused())?;
    let key = text.trim();
    if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(refused());
    }
    session.show(&Digested { digest: KeyDigest::of(key) })?;
    Ok(Exit::Success)
}
