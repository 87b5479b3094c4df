//! Keys of the teams of a site.

use std::collections::BTreeMap;

use rand::Rng;
use vg_base::prelude::*;
use vg_conf::{KeyDigest, Lists, lists};

use crate::site::SiteError;

/// One random key for each team.
#[derive(Debug, Clone)]
pub struct TeamKeys {
    keys: BTreeMap<TeamId, String>,
}

impl TeamKeys {
    /// Makes a key for each team of the lists.
    pub fn generate(lists: &Lists) -> TeamKeys {
        let key = || {
            format!("{:032x}{:032x}", rand::rng().random::<u128>(), rand::rng().random::<u128>())
        };
        let keys = lists.plans.values().map(|plan| (plan.team.clone(), key()));
        TeamKeys { keys: keys.collect() }
    }

    /// Returns a team's key.
    pub fn get(&self, team: &TeamId) -> Option<&str> {
        self.keys.get(team).map(String::as_str)
    }

    /// Returns the list `plans` with all keys granted.
    ///
    /// # Errors
    ///
    /// [`SiteError::Edit`] if a team has no plan.
    pub fn grant_all(&self, plans: &str) -> Result<String, SiteError> {
        self.grant_all_but(plans, None)
    }

    /// Returns the list `plans` with all keys granted but those of one team.
    ///
    /// # Errors
    ///
    /// [`SiteError::Edit`] if a team has no plan.
    pub fn grant_all_but(&self, plans: &str, team: Option<&TeamId>) -> Result<String, SiteError> {
        let granted = self.keys.iter().filter(|(each, _)| Some(*each) != team);
        granted.into_iter().try_fold(plans.to_owned(), |plans, (team, key)| {
            let edited = lists::grant_key(&plans, team, KeyDigest::of(key));
            edited.map_err(|source| SiteError::Edit { source })
        })
    }
}
