//! Errors of the command line.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;
use vg_base::prelude::*;
use vg_conf::Diagnostics;
use vg_conf::lists::EditError;
use vg_conf::stored::StoredError;

use crate::Exit;
use crate::revise::RevisionError;

/// Why a command failed. The text says what to do about it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong, and what is accepted.
        message: String,
    },
    /// A file can't be read.
    #[snafu(display("{} can't be read: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Lists or settings do not pass the checks.
    #[snafu(display("{diagnostics}\nnothing was changed; mend what is listed and try again"))]
    Invalid {
        /// All that is wrong.
        diagnostics: Diagnostics,
    },
    /// The lists were not read or not changed.
    #[snafu(display("{source}\nnothing was changed; {}", revise_advice(source)))]
    Revise {
        /// Cause.
        source: RevisionError,
    },
    /// The lists in the store can't be taken.
    #[snafu(display("{source}\nfind a revision to go back to with `verbenagap config history`"))]
    Stored {
        /// Cause.
        source: StoredError,
    },
    /// A key can't be granted or withdrawn.
    #[snafu(display("{source}\nnothing was changed; see `verbenagap config show --plans`"))]
    Edit {
        /// Cause.
        source: EditError,
    },
    /// Another operator changed the lists first.
    #[snafu(display(
        "conflict: the change was made from revision {base}, the newest is {newest} by {author}; \
         nothing was changed\n\
         changed since revision {base}:\n{theirs}\n\
         your files would change in revision {newest}:\n{yours}\n\
         take it in with `verbenagap config show` and apply with --base {newest}"
    ))]
    Conflict {
        /// The revision that was edited.
        base: Revision,
        /// The newest revision.
        newest: Revision,
        /// Who made the newest revision.
        author: SmolStr,
        /// What the other operators changed.
        theirs: String,
        /// What the files would change in the newest revision.
        yours: String,
    },
    /// Something failed after which the operator has to act.
    #[snafu(display("{message}"))]
    Failed {
        /// What is proved, and what to do.
        message: String,
    },
    /// Standard input or output failed.
    #[snafu(display("input or output failed: {source}"))]
    Stream {
        /// Cause.
        source: io::Error,
    },
}

impl Error {
    /// Makes an error about the command line.
    pub(crate) fn usage(message: impl Into<String>) -> Error {
        Error::Usage { message: message.into() }
    }

    /// Makes an error that tells what to do.
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

fn revise_advice(error: &RevisionError) -> &'static str {
    match error {
        RevisionError::Store { .. } => "try again when the store answers",
        RevisionError::OlderRevision { .. } => "see `verbenagap config history` for the right base",
        RevisionError::Value { .. } | RevisionError::Invalid { .. } => {
            "mend what is said and try again"
        }
    }
}
