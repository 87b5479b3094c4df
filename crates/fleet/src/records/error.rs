//! Errors of the records in the store.

use smol_str::SmolStr;
use snafu::Snafu;

use crate::TransitionError;

/// An error of reading or changing records.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordsError {
    /// A stored value can't be read. It is not overwritten.
    #[snafu(display("the value of {key} can't be read: {reason}"))]
    Unreadable {
        /// Key of the value.
        key: SmolStr,
        /// What is wrong with the value.
        reason: String,
    },
    /// A value can't be encoded.
    #[snafu(display("the value of {key} can't be encoded: {reason}"))]
    Encode {
        /// Key of the value.
        key: SmolStr,
        /// What is wrong with the value.
        reason: String,
    },
    /// Another entry host is the planner, or there is no planner.
    #[snafu(display("the planner is {holder}"))]
    NotPlanner {
        /// The planner, or `nobody`.
        holder: SmolStr,
    },
    /// A shard that was written before is missing in the store.
    #[snafu(display("the value of {key} is missing"))]
    MissingShard {
        /// Key of the value.
        key: SmolStr,
    },
    /// A batch is pending.
    #[snafu(display("a batch is pending"))]
    BatchPending,
    /// A transition is not possible in the state of its host.
    #[snafu(display("{source}"), context(false))]
    Transition {
        /// The transition and the state.
        source: TransitionError,
    },
}
