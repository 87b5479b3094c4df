//! Errors of the records in the store.

use smol_str::SmolStr;
use snafu::Snafu;

use crate::TransitionError;

/// Why records can't be read or changed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordsError {
    /// A value can't be read; it is left as it is.
    #[snafu(display("the value of {key} can't be read: {reason}"))]
    Unreadable {
        /// Its key.
        key: SmolStr,
        /// What is wrong with it.
        reason: String,
    },
    /// A value can't be written.
    #[snafu(display("the value of {key} can't be encoded: {reason}"))]
    Encode {
        /// Its key.
        key: SmolStr,
        /// What is wrong with it.
        reason: String,
    },
    /// Another entry host is the planner, or none is.
    #[snafu(display("the planner is {holder}"))]
    NotPlanner {
        /// The planner.
        holder: SmolStr,
    },
    /// A shard that was written is missing.
    #[snafu(display("{key} is missing"))]
    MissingShard {
        /// Its key.
        key: SmolStr,
    },
    /// A batch is under way.
    #[snafu(display("a batch is under way"))]
    BatchPending,
    /// A step does not follow from its host's state.
    #[snafu(display("{source}"), context(false))]
    Transition {
        /// Which.
        source: TransitionError,
    },
}
