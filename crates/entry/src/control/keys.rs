//! Names of the membership's keys in the store.

use vg_base::prelude::*;
use vg_store::Key;

/// Prefix of all keys of the membership.
pub(super) const CONTROL_PREFIX: &str = "vg/control/";
/// Key of the cluster state.
pub(super) const CLUSTER_STATE_KEY: &str = "vg/control/book";
/// Prefix of the members' leased keys.
const MEMBER_PREFIX: &str = "vg/control/member/";

/// Returns the leased key of a member.
pub(super) fn member_key(member: &Member) -> Key {
    Key::from(format!("{MEMBER_PREFIX}{}/{}", member.node, member.incarnation))
}

/// Returns the member that a leased key belongs to, or `None` if it is not a member's
/// key.
pub(super) fn member_of(key: &Key) -> Option<Member> {
    let (node, incarnation) = key.0.strip_prefix(MEMBER_PREFIX)?.split_once('/')?;
    Some(Member { node: node.parse().ok()?, incarnation: incarnation.parse().ok()? })
}
