//! Errors of a site.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why a site can't be started or changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SiteError {
    /// A stand-in does not start.
    #[snafu(display("{source}"))]
    Standin {
        /// Cause.
        source: vg_standin::Error,
    },
    /// An entry host does not start.
    #[snafu(display("entry host `{node}`: {source}"))]
    Node {
        /// The entry host.
        node: NodeId,
        /// Cause.
        source: vg_entry::StartError,
    },
    /// The store refuses.
    #[snafu(display("{source}"))]
    Store {
        /// Cause.
        source: vg_store::Error,
    },
    /// The lists do not pass the checks.
    #[snafu(display("{source}"))]
    Lists {
        /// Cause.
        source: vg_conf::Diagnostics,
    },
    /// A key can't be put into the lists.
    #[snafu(display("{source}"))]
    Edit {
        /// Cause.
        source: vg_conf::lists::EditError,
    },
    /// The lists can't be encoded.
    #[snafu(display("{source}"))]
    Encode {
        /// Cause.
        source: vg_conf::stored::StoredError,
    },
    /// Another change came first.
    #[snafu(display("another change of the lists came first"))]
    Raced,
}
