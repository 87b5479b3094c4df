//! The context in which a command runs.

use std::io::Read;
use std::path::Path;

use snafu::ResultExt;
use vg_base::prelude::*;

use crate::error::{FileSnafu, StreamSnafu};
use crate::node::NodeClient;
use crate::options::Options;
use crate::output::{Report, Style};
use crate::revision::Revisions;
use crate::{Console, Error, Platform, System};

/// Largest accepted standard input in bytes.
const MAX_INPUT_BYTES: u64 = 64 * 1024 * 1024;

/// Everything that a command needs to run.
#[derive(Debug)]
pub(crate) struct Session<'a, 'c, P, Y> {
    pub(crate) platform: &'a P,
    pub(crate) system: &'a Y,
    pub(crate) console: &'a mut Console<'c>,
    pub(crate) options: Options,
}

impl<P: Platform, Y: System> Session<'_, '_, P, Y> {
    /// Prints a report to standard output as text or JSON.
    pub(crate) fn print_report(&mut self, report: &impl Report) -> Result<(), Error> {
        let text = if self.options.json {
            let json = serde_json::to_string(report).map_err(std::io::Error::other);
            json.context(StreamSnafu)? + "\n"
        } else {
            report.text(self.style())
        };
        self.print_bytes(text.as_bytes())
    }

    /// Writes bytes to standard output unchanged.
    pub(crate) fn print_bytes(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.console.out.write_all(bytes).context(StreamSnafu)
    }

    /// Writes a note for people to standard error.
    pub(crate) fn print_note(&mut self, text: &str) -> Result<(), Error> {
        write_lines(self.console, text).context(StreamSnafu)
    }

    /// Reads a text file.
    pub(crate) fn read_file(&self, path: impl AsRef<Path>) -> Result<String, Error> {
        let path = path.as_ref();
        self.system.read_file(path).context(FileSnafu { path })
    }

    /// Reads all of standard input.
    pub(crate) fn read_input(&mut self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        let limited_input = &mut (&mut *self.console.input).take(MAX_INPUT_BYTES + 1);
        limited_input.read_to_end(&mut bytes).context(StreamSnafu)?;
        if bytes.len() as u64 > MAX_INPUT_BYTES {
            let message = format!("standard input has more than {MAX_INPUT_BYTES} bytes");
            return Err(Error::usage(message));
        }
        Ok(bytes)
    }

    /// Returns the revisions of the lists in the store. Fails if no store is given.
    pub(crate) fn revisions(&self) -> Result<Revisions<P::Store>, Error> {
        if self.options.store.is_empty() {
            let message = "no store is given; set its addresses by --store or VERBENAGAP_STORE";
            return Err(Error::usage(message));
        }
        let store = self.platform.store(&self.options.store, self.options.timeout);
        Ok(Revisions::new(store))
    }

    /// Returns a client for the entry hosts. Fails if no entry host is given.
    pub(crate) fn nodes(&self) -> Result<NodeClient, Error> {
        if self.options.entries.is_empty() {
            let message = "no entry host is given; set the callers' addresses of entry hosts by --entry or \
                VERBENAGAP_ENTRY";
            return Err(Error::usage(message));
        }
        Ok(NodeClient::new(self.options.entries.clone(), self.options.timeout))
    }

    /// Returns the caller's key from the file or the environment, if there is one.
    pub(crate) fn caller_key(&self) -> Result<Option<String>, Error> {
        let key = match &self.options.key_file {
            Some(path) => Some(self.read_file(path)?),
            None => self.system.env_var("VERBENAGAP_KEY"),
        };
        let key = key.map(|text| text.trim().to_owned()).filter(|text| !text.is_empty());
        let is_printable = |key: &String| key.bytes().all(|b| b.is_ascii_graphic());
        if key.as_ref().is_some_and(|key| !is_printable(key)) {
            return Err(Error::usage(
                "the key has characters that are not allowed in a key; create one with \
                `verbenagap key create`",
            ));
        }
        Ok(key)
    }

    /// Returns a random number of 128 bits.
    pub(crate) fn random_u128(&self) -> Result<u128, Error> {
        let mut bytes = [0; 16];
        self.system.random(&mut bytes).context(StreamSnafu)?;
        Ok(u128::from_be_bytes(bytes))
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub(crate) fn wall_time_ms(&self) -> u64 {
        let elapsed =
            self.system.wall_time().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    fn style(&self) -> Style {
        Style::new(self.options.color.unwrap_or(self.console.terminal))
    }
}

/// Writes a message to standard error, with the program's name before each line.
pub(crate) fn write_lines(console: &mut Console<'_>, text: &str) -> std::io::Result<()> {
    text.lines().try_for_each(|line| writeln!(console.err, "verbenagap: {line}"))
}
