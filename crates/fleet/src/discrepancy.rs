//! Discrepancies that are shown to operators.

use derive_more::Display;
use vg_base::prelude::*;

/// A discrepancy between the host list, the records and the operators' lists.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Discrepancy {
    /// A host in the host list has no record.
    #[display("{host} is listed and has no record")]
    Unrecorded {
        /// The host.
        host: HostId,
    },
    /// A host with a record is not in the host list.
    #[display("{host} has a record and is not listed")]
    Unlisted {
        /// The host.
        host: HostId,
    },
    /// The platform set a host up for another pool than its home in the record.
    #[display("{host} is recorded in {recorded} and listed in {listed}")]
    PoolMismatch {
        /// The host.
        host: HostId,
        /// Home pool in the record.
        recorded: PoolId,
        /// Pool in the host list.
        listed: PoolId,
    },
    /// The host list shows a host in another rack or availability zone than its
    /// record.
    #[display("{host} is in another rack or zone than recorded")]
    LocationMismatch {
        /// The host.
        host: HostId,
    },
    /// No pool can take a host that has no record.
    #[display("no pool can take {host}")]
    Unassigned {
        /// The host.
        host: HostId,
    },
    /// A record names a pool that is not in the operators' lists.
    #[display("{host} is recorded in {pool}, which the lists do not have")]
    UnknownPool {
        /// The host.
        host: HostId,
        /// The pool.
        pool: PoolId,
    },
}
