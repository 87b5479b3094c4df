//! Tests that compare whole sessions with golden files.

use clap::Command;

use crate::support::session::{check_session, run_command};

#[test]
fn check_and_diff() {
    check_session("check");
}

#[test]
fn apply_show_and_history() {
    check_session("apply");
}

#[test]
fn lost_answers_and_outages() {
    check_session("lost");
}

#[test]
fn status_and_waiting_until_in_force() {
    check_session("force");
}

#[test]
fn keys() {
    check_session("keys");
}

#[test]
fn calls_and_jobs() {
    check_session("calls");
}

#[test]
fn timeline() {
    check_session("timeline");
}

#[test]
fn invalid_command_lines() {
    check_session("usage");
}

#[test]
fn every_command_has_help_and_a_manual_page() {
    let mut program = vg_cli::command(&[]);
    program.build();
    program.clone().debug_assert();
    let mut paths = Vec::new();
    collect(&program, &mut Vec::new(), &mut paths);
    assert!(paths.len() > 20, "{paths:?}");
    for path in paths {
        assert!(run_command(&format!("{path} --help")).contains("Usage: verbenagap"), "{path}");
        let page = run_command(&format!("man {path}"));
        assert!(page.contains(".SH NAME"), "{path}: {page}");
    }
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        assert!(run_command(&format!("completions {shell}")).contains("withdraw"), "{shell}");
    }
}

/// Appends the words of every command under `command` to `paths`.
fn collect(command: &Command, words: &mut Vec<String>, paths: &mut Vec<String>) {
    for each in command.get_subcommands().filter(|each| each.get_name() != "help") {
        words.push(each.get_name().to_owned());
        paths.push(words.join(" "));
        collect(each, words, paths);
        words.pop();
    }
}
