//! Rendezvous hashing of pools over members.

use vg_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// Returns the member that should own a pool.
///
/// A member that comes or goes moves only its own pools. The hash is over the
/// node's name, so that a restarted node gets its pools back.
pub fn choose_owner<'a>(
    pool: &PoolId,
    members: impl IntoIterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.into_iter().max_by_key(|member| (score(pool, &member.node), *member))
}

fn score(pool: &PoolId, node: &NodeId) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(pool.as_str().as_bytes());
    // Not a character of names: `a` + `bc` differs from `ab` + `c`.
    hash.update(b"/");
    hash.update(node.as_str().as_bytes());
    hash.digest()
}
