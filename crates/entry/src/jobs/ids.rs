//! Ids of jobs, which tell their pool.

use rand::Rng;
use vg_base::prelude::*;
use vg_conf::Lists;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Bits of an id below the mark of the pool.
const SERIAL_BITS: u32 = 96;

/// Makes a random id for a job of a pool.
pub(crate) fn job_id(pool: &PoolId) -> JobId {
    mark(pool, rand::rng().random())
}

/// Makes the id of a job that came with an idempotency key: the same key is
/// the same job.
pub(crate) fn keyed_job_id(pool: &PoolId, team: &TeamId, queue: &QueueId, key: &str) -> JobId {
    // Names have no slash, so the parts can't run into each other.
    mark(pool, xxh3_128(format!("{team}/{queue}/{key}").as_bytes()))
}

/// Returns the pool of a job, if the lists have it.
pub(crate) fn pool_of(lists: &Lists, job: JobId) -> Option<&PoolId> {
    let mark = job.value() >> SERIAL_BITS;
    lists.pools.keys().find(|pool| u128::from(hash(pool)) == mark)
}

fn mark(pool: &PoolId, serial: u128) -> JobId {
    let serial = serial & ((1 << SERIAL_BITS) - 1);
    JobId::new((u128::from(hash(pool)) << SERIAL_BITS) | serial)
}

fn hash(pool: &PoolId) -> u32 {
    // The upper half: the mark has 32 bits.
    (xxh3_64(pool.as_str().as_bytes()) >> 32) as u32
}
