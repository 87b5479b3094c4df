//! Ids of jobs, which encode their pool.

use rand::Rng;
use vg_base::prelude::*;
use vg_conf::Lists;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Number of bits of an id below the pool's tag.
const SERIAL_BITS: u32 = 96;

/// Creates a random id for a job of a pool.
pub(crate) fn job_id(pool: &PoolId) -> JobId {
    with_pool_tag(pool, rand::rng().random())
}

/// Creates the id of a job that was submitted with an idempotency key.
///
/// The same key of a team and queue gives the same id for as long as `pool`, the queue's
/// pool, is the same. After the queue has moved to another pool, the key gives another id.
pub(crate) fn keyed_job_id(pool: &PoolId, team: &TeamId, queue: &QueueId, key: &str) -> JobId {
    // Names contain no slash, and the key, which may contain one, comes last. So different
    // parts cannot give the same text.
    with_pool_tag(pool, xxh3_128(format!("{team}/{queue}/{key}").as_bytes()))
}

/// Returns the pool of a job, or `None` if the lists do not have it.
pub(crate) fn pool_of(lists: &Lists, job: JobId) -> Option<&PoolId> {
    let tag = job.value() >> SERIAL_BITS;
    lists.pools.keys().find(|pool| u128::from(pool_hash(pool)) == tag)
}

/// Combines the pool's tag with the low bits of `serial`.
fn with_pool_tag(pool: &PoolId, serial: u128) -> JobId {
    let serial = serial & ((1 << SERIAL_BITS) - 1);
    JobId::new((u128::from(pool_hash(pool)) << SERIAL_BITS) | serial)
}

/// Returns the pool's tag, a hash of its name.
fn pool_hash(pool: &PoolId) -> u32 {
    // The tag has 32 bits, so only the upper half of the hash is used.
    (xxh3_64(pool.as_str().as_bytes()) >> 32) as u32
}
