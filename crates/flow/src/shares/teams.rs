//! Small numbers for teams, so that passes over all jobs and attempts neither copy nor
//! compare team ids.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::{JobTerms, Scheduler, Team};

/// Number of a team; it is valid as long as the leader. The default stands for jobs
/// without a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TeamIndex(u32);

impl TeamIndex {
    /// Returns the numbers of the first `count` teams.
    pub(crate) fn all(count: usize) -> impl Iterator<Item = TeamIndex> {
        (0..count as u32).map(TeamIndex)
    }

    /// Returns the position of the team in a list of all teams.
    pub(crate) fn position(self) -> usize {
        self.0 as usize
    }
}

/// All teams that this leader has seen. Their number is bounded by that of the teams
/// in the versions of the configuration.
#[derive(Debug)]
pub(crate) struct TeamTable {
    ids: Vec<Option<TeamId>>,
    indexes: HashMap<TeamId, TeamIndex>,
    /// What the newest terms of accepted jobs say of teams, and the version of these terms.
    accepted: HashMap<TeamId, (u64, Team)>,
}

impl Default for TeamTable {
    fn default() -> TeamTable {
        TeamTable { ids: vec![None], indexes: HashMap::new(), accepted: HashMap::new() }
    }
}

impl TeamTable {
    /// Returns the number of a team.
    pub(crate) fn index(&mut self, team: Option<&TeamId>) -> TeamIndex {
        let Some(team) = team else { return TeamIndex::default() };
        if let Some(&index) = self.indexes.get(team) {
            return index;
        }
        let index = TeamIndex(self.ids.len() as u32);
        self.ids.push(Some(team.clone()));
        self.indexes.insert(team.clone(), index);
        index
    }

    /// Notes what the terms of an accepted job say of its team.
    pub(crate) fn note_terms(&mut self, team: Option<&TeamId>, terms: Option<&JobTerms>) {
        let Some((id, terms)) = team.zip(terms) else { return };
        let Some(team) = terms.team else { return };
        let known = self.accepted.get(id);
        if known.is_none_or(|&(version, _)| version <= terms.version) {
            self.accepted.insert(id.clone(), (terms.version, team));
        }
    }

    /// Returns all teams in the order of their numbers; `None` stands for jobs without
    /// a team.
    pub(crate) fn ids(&self) -> &[Option<TeamId>] {
        &self.ids
    }
}

impl Scheduler {
    /// Returns a team with its limits as the present configuration has it; one that was
    /// removed, or that the configuration does not have yet, as the newest of its accepted
    /// jobs do.
    pub(crate) fn limits_of(&self, id: &TeamId) -> Option<&Team> {
        let present = self.config.present_team(id);
        present.or_else(|| self.teams.accepted.get(id).map(|(_, team)| team))
    }
}
