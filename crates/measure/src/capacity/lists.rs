//! Generates lists for a site of a given size.

use std::fmt::Write;

use super::size::Size;

/// Returns the list `plans` with one plan for each team.
pub(super) fn plans(size: Size) -> String {
    let mut text = String::new();
    for team in 0..size.teams {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "[plan team-{team}]\nteam = team-{team}\nkeys =\nshare = {}\nlimit = 96\n\n",
            team % 4 + 1
        );
    }
    text
}

/// Returns the list `uses` with an urgent and a background queue for each pool. Three teams
/// may use each queue.
pub(super) fn uses(size: Size) -> String {
    let mut text = String::new();
    for pool in 0..size.pools {
        let team = |offset: u32| (pool + offset) % size.teams;
        let teams = format!("team-{}, team-{}, team-{}", team(0), team(1), team(2));
        let _ = write!(
            text,
            "[pool pool-{pool}]\nhosts = 12\nzones = zone-a, zone-b, zone-c, zone-d, zone-e\n\
             budget = 3\nperiod = 6w\n\n\
             [queue pool-{pool}-urgent]\npool = pool-{pool}\nplans = {teams}\nclass = urgent\n\
             deadline = 3800ms\nidempotent = no\nbound = 400\n\n\
             [queue pool-{pool}-background]\npool = pool-{pool}\nplans = {teams}\n\
             class = background\ndeadline = 10m\nidempotent = yes\nbound = 2000\n\n"
        );
    }
    text
}
