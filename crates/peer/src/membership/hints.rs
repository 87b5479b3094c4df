//! Selection of the idle and wanted permits that each heartbeat reports.

use std::collections::BTreeMap;

use vg_base::prelude::*;
use vg_limit::PermitHint;

/// Maximum number of teams in one message, which bounds the control traffic.
const HINTS_MAX: usize = 4;

/// Remembers what was sent to each peer, so that only changes are sent.
#[derive(Debug, Clone, Default)]
pub(super) struct HintFeed {
    /// Idle and wanted permits of each team, as last sent to each peer.
    sent: BTreeMap<Member, BTreeMap<TeamId, (Permits, Permits)>>,
    /// Position of the slow repetition of all teams, which compensates for lost messages.
    cursor: usize,
}

impl HintFeed {
    /// Returns the hints for the next message: of the teams whose hint changed, first those
    /// that want the most permits and then those whose idle permits changed most; and one
    /// team that is repeated in turn.
    pub(super) fn next(&mut self, to: &Member, current: Vec<PermitHint>) -> Vec<PermitHint> {
        let sent = self.sent.entry(to.clone()).or_default();
        let mut changed: Vec<PermitHint> =
            current.iter().filter(|each| differs(sent, each)).cloned().collect();
        let is_current = |team: &TeamId| current.iter().any(|each| each.team == *team);
        let no_permits = |team: &TeamId| PermitHint {
            team: team.clone(),
            idle: Permits::ZERO,
            wanted: Permits::ZERO,
        };
        // A team that has no hint any more is sent once again, without permits.
        changed.extend(sent.keys().filter(|team| !is_current(team)).map(no_permits));
        changed.sort_by_key(|each| std::cmp::Reverse((each.wanted, idle_change(sent, each))));
        changed.truncate(HINTS_MAX - 1);
        if let Some(each) = current.get(self.cursor % current.len().max(1)) {
            self.cursor = self.cursor.wrapping_add(1);
            if !changed.iter().any(|known| known.team == each.team) {
                changed.push(each.clone());
            }
        }
        for each in &changed {
            if each.idle == Permits::ZERO && each.wanted == Permits::ZERO {
                sent.remove(&each.team);
            } else {
                sent.insert(each.team.clone(), (each.idle, each.wanted));
            }
        }
        changed
    }

    /// Removes the peers for which `is_peer` is false.
    pub(super) fn retain(&mut self, is_peer: impl Fn(&Member) -> bool) {
        self.sent.retain(|member, _| is_peer(member));
    }
}

/// Whether a hint differs from what was last sent.
fn differs(sent: &BTreeMap<TeamId, (Permits, Permits)>, each: &PermitHint) -> bool {
    sent.get(&each.team) != Some(&(each.idle, each.wanted))
}

/// Returns by how many permits the idle permits of a team changed since they were last sent.
fn idle_change(sent: &BTreeMap<TeamId, (Permits, Permits)>, each: &PermitHint) -> u32 {
    let (idle, _) = sent.get(&each.team).copied().unwrap_or_default();
    idle.get().abs_diff(each.idle.get())
}
