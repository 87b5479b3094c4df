//! What to tell which peer of the teams' units.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_limit::PermitHint;

/// Most teams that one message tells of, which bounds the control traffic.
const ADVICE_MAX: usize = 4;

/// Keeps what each peer has been told, so that only changes are sent.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceFeed {
    told: BTreeMap<Member, BTreeMap<TeamId, (Units, Units)>>,
    /// Position of the slow repetition, which makes up for lost messages.
    cursor: usize,
}

impl AdviceFeed {
    /// Returns what to put into a message: teams with waiting work first, then
    /// the greatest changes, and one repeated.
    pub(super) fn next(&mut self, to: &Member, current: Vec<PermitHint>) -> Vec<PermitHint> {
        let told = self.told.entry(to.clone()).or_default();
        let mut changed: Vec<PermitHint> =
            current.iter().filter(|each| differs(told, each)).cloned().collect();
        let named = |team: &TeamId| current.iter().any(|each| each.team == *team);
        let zero = |team: &TeamId| PermitHint {
            team: team.clone(),
            idle: Units::ZERO,
            wanted: Units::ZERO,
        };
        changed.extend(told.keys().filter(|team| !named(team)).map(zero));
        changed.sort_by_key(|each| std::cmp::Reverse((each.wanted, change(told, each))));
        changed.truncate(ADVICE_MAX - 1);
        if let Some(each) = current.get(self.cursor % current.len().max(1)) {
            self.cursor = self.cursor.wrapping_add(1);
            if !changed.iter().any(|known| known.team == each.team) {
                changed.push(each.clone());
            }
        }
        for each in &changed {
            if each.idle == Units::ZERO && each.wanted == Units::ZERO {
                told.remove(&each.team);
            } else {
                told.insert(each.team.clone(), (each.idle, each.wanted));
            }
        }
        changed
    }

    /// Forgets peers that are gone.
    pub(super) fn retain(&mut self, is_peer: impl Fn(&Member) -> bool) {
        self.told.retain(|member, _| is_peer(member));
    }
}

fn differs(told: &BTreeMap<TeamId, (Units, Units)>, each: &PermitHint) -> bool {
    told.get(&each.team) != Some(&(each.idle, each.wanted))
}

fn change(told: &BTreeMap<TeamId, (Units, Units)>, each: &PermitHint) -> u32 {
    let (free, _) = told.get(&each.team).copied().unwrap_or_default();
    free.get().abs_diff(each.idle.get())
}
