//! Disagreements that operators should see.

use derive_more::Display;
use vg_base::prelude::*;

/// A disagreement of the host list, the records and the lists of operators.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Discrepancy {
    /// The list shows a host that has no record.
    #[display("{host} is listed and has no record")]
    Unrecorded {
        /// The host.
        host: HostId,
    },
    /// A host with a record is not listed.
    #[display("{host} has a record and is not listed")]
    Unlisted {
        /// The host.
        host: HostId,
    },
    /// The platform set a host up for another pool than its record's.
    #[display("{host} is recorded in {recorded} and listed in {listed}")]
    PoolMismatch {
        /// The host.
        host: HostId,
        /// Pool of the record.
        recorded: PoolId,
        /// Pool of the list.
        listed: PoolId,
    },
    /// A host stands in another rack or zone than its record says.
    #[display("{host} stands in another rack or zone than recorded")]
    LocationMismatch {
        /// The host.
        host: HostId,
    },
    /// No pool wants the host.
    #[display("no pool wants {host}")]
    Unassigned {
        /// The host.
        host: HostId,
    },
    /// A record names a pool that the lists do not have.
    #[display("{host} is recorded in {pool}, which the lists do not have")]
    UnknownPool {
        /// The host.
        host: HostId,
        /// The pool.
        pool: PoolId,
    },
}
