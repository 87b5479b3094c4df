//! Golden files of whole sessions.

use crate::support::session::check;

#[test]
fn check_and_diff() {
    check("check");
}

#[test]
fn apply_show_and_history() {
    check("apply");
}

#[test]
fn lost_answers_and_outages() {
    check("lost");
}

#[test]
fn in_force_and_waiting() {
    check("force");
}

#[test]
fn keys() {
    check("keys");
}

#[test]
fn calls_and_jobs() {
    check("calls");
}

#[test]
fn timeline() {
    check("timeline");
}

#[test]
fn faulty_command_lines() {
    check("usage");
}
