//! The keys of a site's teams.

use std::collections::BTreeMap;

use rand::Rng;
use vg_base::prelude::*;
use vg_conf::{KeyDigest, Lists, lists};

use crate::site::SiteError;

/// One random key per team.
#[derive(Debug, Clone)]
pub struct TeamKeys {
    keys: BTreeMap<TeamId, String>,
}

impl TeamKeys {
    /// Generates a key for each team that has a plan.
    pub fn generate(lists: &Lists) -> TeamKeys {
        let random_key = || {
            format!("{:032x}{:032x}", rand::rng().random::<u128>(), rand::rng().random::<u128>())
        };
        let keys = lists.plans.values().map(|plan| (plan.team.clone(), random_key()));
        TeamKeys { keys: keys.collect() }
    }

    /// Returns the key of a team.
    pub fn get(&self, team: &TeamId) -> Option<&str> {
        self.keys.get(team).map(String::as_str)
    }

    /// Returns the list `plans` with the keys of all teams granted.
    ///
    /// # Errors
    ///
    /// [`SiteError::Edit`] if a team has no plan or its key is in the list already.
    pub fn grant_all(&self, plans: &str) -> Result<String, SiteError> {
        self.grant_all_except(plans, None)
    }

    /// Returns the list `plans` with the keys of all teams except `team` granted.
    ///
    /// # Errors
    ///
    /// [`SiteError::Edit`] if a team has no plan or its key is in the list already.
    pub fn grant_all_except(
        &self,
        plans: &str,
        team: Option<&TeamId>,
    ) -> Result<String, SiteError> {
        let granted = self.keys.iter().filter(|(each, _)| Some(*each) != team);
        granted.into_iter().try_fold(plans.to_owned(), |plans, (team, key)| {
            let edited = lists::grant_key(&plans, team, KeyDigest::of(key));
            edited.map_err(|source| SiteError::Edit { source })
        })
    }
}
