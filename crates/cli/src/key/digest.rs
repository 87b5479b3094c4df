//! `key digest`: prints the digest of a key that is read from standard input.

use clap::Command;
use serde::Serialize;
use vg_conf::KeyDigest;

use crate::output::{Report, Style};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("digest").about("Prints the digest of the key on standard input")
}

/// The report on the digest of a key.
#[derive(Debug, Serialize)]
struct DigestReport {
    digest: KeyDigest,
}

impl Report for DigestReport {
    fn text(&self, _: Style) -> String {
        format!("{}\n", self.digest)
    }
}

pub(super) fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
) -> Result<Exit, Error> {
    let invalid = || {
        Error::usage(
            "standard input is not a key; a key is one line of ASCII characters without spaces",
        )
    };
    let text = String::from_utf8(session.read_input()?).map_err(|_| invalid())?;
    let key = text.trim();
    if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(invalid());
    }
    session.print_report(&DigestReport { digest: KeyDigest::of(key) })?;
    Ok(Exit::Success)
}
