//! Rendezvous hashing of pools over members.

use vg_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// Returns the member that should own a pool.
///
/// When a member joins or leaves, only the pools that it gains or loses change their
/// owner. The hash covers the name of the node, not its incarnation, so that a restarted
/// node gets its pools back.
pub fn choose_owner<'a>(
    pool: &PoolId,
    members: impl IntoIterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.into_iter().max_by_key(|member| (score(pool, &member.node), *member))
}

fn score(pool: &PoolId, node: &NodeId) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(pool.as_str().as_bytes());
    // The separator can't occur in names, so `a` + `bc` and `ab` + `c` hash differently.
    hash.update(b"/");
    hash.update(node.as_str().as_bytes());
    hash.digest()
}
