//! `key create`: makes a random key.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use clap::Command;
use serde::Serialize;
use snafu::ResultExt;
use vg_conf::KeyDigest;

use crate::error::StreamSnafu;
use crate::output::{Report, Style};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Bytes of randomness in a key.
const KEY_BYTES: usize = 32;

pub(super) fn command() -> Command {
    Command::new("create").about("Makes a random key and prints it, once, with its digest")
}

/// A new key. Not `Debug`: a key must not come into a log by accident.
#[derive(Serialize)]
struct Created {
    key: String,
    digest: KeyDigest,
}

impl Report for Created {
    fn text(&self, _: Style) -> String {
        format!("key     {}\ndigest  {}\n", self.key, self.digest)
    }
}

pub(super) fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
) -> Result<Exit, Error> {
    let mut bytes = [0; KEY_BYTES];
    session.system.random(&mut bytes).context(StreamSnafu)?;
    let key = URL_SAFE_NO_PAD.encode(bytes);
    let digest = KeyDigest::of(&key);
    session.show(&Created { key, digest })?;
    session.note(
        "give the key to the team by a safe way: it is kept nowhere and not shown again; \
         grant it with `verbenagap key grant TEAM DIGEST`",
    )?;
    Ok(Exit::Success)
}
