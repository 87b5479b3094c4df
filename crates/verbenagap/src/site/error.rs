//! Errors of starting and changing a site.

use snafu::Snafu;
use vg_base::prelude::*;

/// An error of starting or changing a site.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SiteError {
    /// A stand-in does not start.
    #[snafu(display("{source}"))]
    Standin {
        /// The cause.
        source: vg_standin::Error,
    },
    /// An entry host does not start.
    #[snafu(display("entry host `{node}`: {source}"))]
    Node {
        /// The entry host.
        node: NodeId,
        /// The cause.
        source: vg_entry::StartError,
    },
    /// A call to the store fails.
    #[snafu(display("{source}"))]
    Store {
        /// The cause.
        source: vg_store::Error,
    },
    /// The lists are invalid.
    #[snafu(display("{source}"))]
    Lists {
        /// The cause.
        source: vg_conf::Diagnostics,
    },
    /// A key cannot be granted in the lists.
    #[snafu(display("{source}"))]
    Edit {
        /// The cause.
        source: vg_conf::lists::EditError,
    },
    /// The lists cannot be encoded for the store.
    #[snafu(display("{source}"))]
    Encode {
        /// The cause.
        source: vg_conf::stored::StoredError,
    },
    /// The stored lists changed between the read and the write.
    #[snafu(display("the stored lists were changed by another writer"))]
    Conflict,
}
