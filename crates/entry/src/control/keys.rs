//! Names of the store's keys for membership.

use vg_base::prelude::*;
use vg_store::Key;

/// Prefix of all that the membership keeps.
pub(super) const CONTROL_PREFIX: &str = "vg/control/";
/// The book.
pub(super) const BOOK: &str = "vg/control/book";
/// Prefix of the members' leased keys.
const MEMBER_PREFIX: &str = "vg/control/member/";

/// Returns the leased key of a member.
pub(super) fn member_key(member: &Member) -> Key {
    Key::from(format!("{MEMBER_PREFIX}{}/{}", member.node, member.incarnation))
}

/// Returns the member whose leased key this is.
pub(super) fn member_of(key: &Key) -> Option<Member> {
    let (node, incarnation) = key.0.strip_prefix(MEMBER_PREFIX)?.split_once('/')?;
    Some(Member { node: node.parse().ok()?, incarnation: incarnation.parse().ok()? })
}
