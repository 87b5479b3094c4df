//! Errors of commands.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;
use vg_base::prelude::*;
use vg_conf::Diagnostics;
use vg_conf::lists::EditError;
use vg_conf::stored::StoredError;

use crate::Exit;
use crate::revision::RevisionError;

/// The reason why a command failed. The message says what to do about it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line or the input is not valid.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong and what is accepted.
        message: String,
    },
    /// A file can't be read.
    #[snafu(display("{} can't be read: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Lists or settings are not valid.
    #[snafu(display("{diagnostics}\nnothing was changed; fix the listed errors and try again"))]
    Invalid {
        /// What is wrong with the lists or settings.
        diagnostics: Diagnostics,
    },
    /// The lists were not read or not changed.
    #[snafu(display("{source}\nnothing was changed; {}", revision_advice(source)))]
    Revise {
        /// The cause.
        source: RevisionError,
    },
    /// The lists in the store are not valid.
    #[snafu(display("{source}\nfind an earlier revision with `verbenagap config history`"))]
    Stored {
        /// The cause.
        source: StoredError,
    },
    /// A key can't be granted or withdrawn.
    #[snafu(display("{source}\nnothing was changed; see `verbenagap config show --plans`"))]
    Edit {
        /// The cause.
        source: EditError,
    },
    /// Another operator changed the lists first.
    #[snafu(display(
        "conflict: the change was made from revision {base}, the newest is {newest} by {author}; \
         nothing was changed\n\
         changed since revision {base}:\n{theirs}\n\
         your files would change in revision {newest}:\n{yours}\n\
         merge your edits into the output of `verbenagap config show` and apply with --base {newest}"
    ))]
    Conflict {
        /// The revision that was edited.
        base: Revision,
        /// The newest revision.
        newest: Revision,
        /// Who made the newest revision.
        author: SmolStr,
        /// What other operators changed since the base.
        theirs: String,
        /// What the files would change in the newest revision.
        yours: String,
    },
    /// A failure after which the operator has to act.
    #[snafu(display("{message}"))]
    Failed {
        /// What is known about the outcome, and what to do.
        message: String,
    },
    /// Standard input or output failed.
    #[snafu(display("input or output failed: {source}"))]
    Stream {
        /// The cause.
        source: io::Error,
    },
}

impl Error {
    /// Makes an error about the command line or the input.
    pub(crate) fn usage(message: impl Into<String>) -> Error {
        Error::Usage { message: message.into() }
    }

    /// Makes an error whose message says what to do.
    pub(crate) fn failed(message: impl Into<String>) -> Error {
        Error::Failed { message: message.into() }
    }

    /// Returns the exit status.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Usage { .. } | Error::File { .. } | Error::Invalid { .. } => Exit::Usage,
            _ => Exit::Failed,
        }
    }
}

impl From<RevisionError> for Error {
    fn from(source: RevisionError) -> Error {
        match source {
            RevisionError::Invalid { diagnostics } => Error::Invalid { diagnostics },
            source => Error::Revise { source },
        }
    }
}

/// Returns what to do after the lists were not read or changed.
fn revision_advice(error: &RevisionError) -> &'static str {
    match error {
        RevisionError::Store { .. } => "try again when the store answers",
        RevisionError::OlderRevision { .. } => "see `verbenagap config history` for the right base",
        RevisionError::Value { .. } | RevisionError::Invalid { .. } => {
            "fix the problem and try again"
        }
    }
}
