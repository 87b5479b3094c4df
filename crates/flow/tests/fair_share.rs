//! Division of a pool's capacity among teams under contention.

use proptest::prelude::*;
use vg_flow::{TeamDemand, allocate};

fn demand(weight: f64, wanted: f64) -> TeamDemand {
    TeamDemand { weight, wanted }
}

/// Guards against capacity that is kept for a team which does not use it.
#[test]
fn what_a_team_does_not_want_goes_to_the_others() {
    let parts = allocate(10.0, &[demand(1.0, 1.0), demand(1.0, 20.0), demand(2.0, 20.0)]);
    assert_eq!(parts, vec![1.0, 3.0, 6.0]);
}

proptest! {
    /// Guards against a team within its share that gets less because of what others
    /// request, and against capacity that is left unused or given twice.
    #[test]
    fn a_team_within_its_share_gets_what_it_wants(
        teams in prop::collection::vec((0.1f64..10.0, 0.0f64..100.0), 1..40),
        capacity in 0.0f64..200.0,
    ) {
        let demands: Vec<_> = teams.iter().map(|&(weight, wanted)| demand(weight, wanted)).collect();
        let parts = allocate(capacity, &demands);
        let total: f64 = parts.iter().sum();
        let wanted: f64 = demands.iter().map(|each| each.wanted).sum();
        prop_assert!((total - wanted.min(capacity)).abs() < 1e-6);
        let weights: f64 = demands.iter().map(|each| each.weight).sum();
        for (each, part) in demands.iter().zip(&parts) {
            let entitled = each.wanted.min(capacity * each.weight / weights);
            prop_assert!(*part >= entitled - 1e-9 && *part <= each.wanted + 1e-9);
        }
    }
}
