//! Lists of a given size.

use std::fmt::Write;

use super::size::Size;

/// Returns the list `plans` with one plan for each team.
pub(super) fn plans(size: Size) -> String {
    let mut text = String::new();
    for at in 0..size.teams {
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "[plan team-{at}]\nteam = team-{at}\nkeys =\nshare = {}\nlimit = 96\n\n",
            at % 4 + 1
        );
    }
    text
}

/// Returns the list `uses` with an urgent and a background queue for each pool,
/// each for three teams.
pub(super) fn uses(size: Size) -> String {
    let mut text = String::new();
    for pool in 0..size.pools {
        let team = |step: u32| (pool + step) % size.teams;
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
