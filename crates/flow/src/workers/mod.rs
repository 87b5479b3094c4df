//! Workers: their registrations and reports, whose attempts may still run, and which workers
//! are lost, slow or doubtful.

pub(crate) mod answered_starts;
pub(crate) mod answers;
pub(crate) mod departures;
pub(crate) mod failed_steps;
pub(crate) mod fence;
pub(crate) mod health;
pub(crate) mod health_report;
pub(crate) mod late_starts;
pub(crate) mod lease;
pub(crate) mod listed_starts;
pub(crate) mod losses;
pub(crate) mod machine_workers;
pub(crate) mod observe;
pub(crate) mod occupancy;
pub(crate) mod probes;
pub(crate) mod proof;
pub(crate) mod quarantine;
pub(crate) mod register;
pub(crate) mod releases;
pub(crate) mod report;
pub(crate) mod retained;
pub(crate) mod slow;
pub(crate) mod unknown_usage;
pub(crate) mod unresolved;
pub(crate) mod worker;
pub(crate) mod worker_health;
