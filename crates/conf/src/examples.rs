//! Example pairs of lists, with no keys.

use vg_base::prelude::*;

use crate::Diagnostics;
use crate::lists::{self, EditError, KeyDigest, Lists};

/// A pair of lists as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Example {
    /// The list `plans`.
    pub plans: &'static str,
    /// The list `uses`.
    pub uses: &'static str,
}

/// A shared platform of recall notices: four competing members, three
/// availability zones, five pools with 50 hosts.
pub const RECALL: Example = Example {
    plans: include_str!("../../../examples/recall/plans.ini"),
    uses: include_str!("../../../examples/recall/uses.ini"),
};

/// A booking service for interpreters: four availability zones, five pools
/// with 50 hosts.
pub const SIGNBRIDGE: Example = Example {
    plans: include_str!("../../../examples/signbridge/plans.ini"),
    uses: include_str!("../../../examples/signbridge/uses.ini"),
};

impl Example {
    /// Parses both lists.
    ///
    /// # Errors
    ///
    /// All diagnostics of both lists.
    pub fn lists(&self) -> Result<Lists, Diagnostics> {
        lists::parse(self.plans, self.uses)
    }

    /// Returns the list `plans` with a key for each of some teams.
    ///
    /// # Errors
    ///
    /// [`EditError`] for a team that has no plan.
    pub fn plans_with_keys<'a>(
        &self,
        keys: impl IntoIterator<Item = (&'a TeamId, KeyDigest)>,
    ) -> Result<String, EditError> {
        let add = |plans: String, (team, digest)| lists::grant_key(&plans, team, digest);
        keys.into_iter().try_fold(self.plans.to_owned(), add)
    }
}
