//! One command while it runs.

use std::io::Read;
use std::path::Path;

use snafu::ResultExt;
use vg_base::prelude::*;

use crate::error::{FileSnafu, StreamSnafu};
use crate::node::Nodes;
use crate::options::Options;
use crate::output::{Report, Style};
use crate::revise::Revisions;
use crate::{Console, Error, Platform, System};

/// Longest accepted text on standard input.
const MAX_INPUT_BYTES: u64 = 64 * 1024 * 1024;

/// What a command works with.
#[derive(Debug)]
pub(crate) struct Session<'a, 'c, P, Y> {
    pub(crate) platform: &'a P,
    pub(crate) system: &'a Y,
    pub(crate) console: &'a mut Console<'c>,
    pub(crate) options: Options,
}

impl<P: Platform, Y: System> Session<'_, '_, P, Y> {
    /// Prints a report as text or JSON.
    pub(crate) fn show(&mut self, report: &impl Report) -> Result<(), Error> {
        let text = if self.options.json {
            let json = serde_json::to_string(report).map_err(std::io::Error::other);
            json.context(StreamSnafu)? + "\n"
        } else {
            report.text(self.style())
        };
        self.print(text.as_bytes())
    }

    /// Writes bytes as they are.
    pub(crate) fn print(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.console.out.write_all(bytes).context(StreamSnafu)
    }

    /// Writes a note for people to standard error.
    pub(crate) fn note(&mut self, text: &str) -> Result<(), Error> {
        write_lines(self.console, text).context(StreamSnafu)
    }

    /// Reads a text file.
    pub(crate) fn file(&self, path: impl AsRef<Path>) -> Result<String, Error> {
        let path = path.as_ref();
        self.system.read(path).context(FileSnafu { path })
    }

    /// Reads all of standard input.
    pub(crate) fn input(&mut self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        let limited = &mut (&mut *self.console.input).take(MAX_INPUT_BYTES + 1);
        limited.read_to_end(&mut bytes).context(StreamSnafu)?;
        if bytes.len() as u64 > MAX_INPUT_BYTES {
            let message = format!("standard input has more than {MAX_INPUT_BYTES} bytes");
            return Err(Error::usage(message));
        }
        Ok(bytes)
    }

    /// Returns the access to the lists in the store.
    pub(crate) fn revisions(&self) -> Result<Revisions<P::Store>, Error> {
        if self.options.store.is_empty() {
            let message = "no store is given; name its addresses by --store or VERBENAGAP_STORE";
            return Err(Error::usage(message));
        }
        let store = self.platform.store(&self.options.store, self.options.timeout);
        Ok(Revisions::new(store))
    }

    /// Returns the access to the entry hosts.
    pub(crate) fn nodes(&self) -> Result<Nodes, Error> {
        if self.options.entries.is_empty() {
            let message = "no entry host is given; name their callers' addresses by --entry or \
                VERBENAGAP_ENTRY";
            return Err(Error::usage(message));
        }
        Ok(Nodes::new(self.options.entries.clone(), self.options.timeout))
    }

    /// Returns the caller's key, if one is given.
    pub(crate) fn key(&self) -> Result<Option<String>, Error> {
        let key = match &self.options.key_file {
            Some(path) => Some(self.file(path)?),
            None => self.system.var("VERBENAGAP_KEY"),
        };
        let key = key.map(|text| text.trim().to_owned()).filter(|text| !text.is_empty());
        let printable = |key: &String| key.bytes().all(|b| b.is_ascii_graphic());
        if key.as_ref().is_some_and(|key| !printable(key)) {
            return Err(Error::usage("the key has characters that no key has; see `key create`"));
        }
        Ok(key)
    }

    /// Returns a random number of 128 bits.
    pub(crate) fn random(&self) -> Result<u128, Error> {
        let mut bytes = [0; 16];
        self.system.random(&mut bytes).context(StreamSnafu)?;
        Ok(u128::from_be_bytes(bytes))
    }

    /// Returns the wall time in milliseconds since the Unix epoch.
    pub(crate) fn wall_ms(&self) -> u64 {
        let since = self.system.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn style(&self) -> Style {
        Style::new(self.options.color.unwrap_or(self.console.terminal))
    }
}

/// Writes a message to standard error, each line with the program's name.
pub(crate) fn write_lines(console: &mut Console<'_>, text: &str) -> std::io::Result<()> {
    text.lines().try_for_each(|line| writeln!(console.err, "verbenagap: {line}"))
}
