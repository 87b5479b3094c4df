//! Golden files of whole sessions.

use clap::Command;

use crate::support::session::{check, run_words};

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

#[test]
fn every_command_has_help_and_a_manual_page() {
    let mut program = vg_cli::command(&[]);
    program.build();
    program.clone().debug_assert();
    let mut paths = Vec::new();
    collect(&program, &mut Vec::new(), &mut paths);
    assert!(paths.len() > 20, "{paths:?}");
    for path in paths {
        assert!(run_words(&format!("{path} --help")).contains("Usage: verbenagap"), "{path}");
        let page = run_words(&format!("man {path}"));
        assert!(page.contains(".SH NAME"), "{path}: {page}");
    }
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        assert!(run_words(&format!("completions {shell}")).contains("withdraw"), "{shell}");
    }
}

/// Adds the words of every command under `command`.
fn collect(command: &Command, words: &mut Vec<String>, paths: &mut Vec<String>) {
    for each in command.get_subcommands().filter(|each| each.get_name() != "help") {
        words.push(each.get_name().to_owned());
        paths.push(words.join(" "));
        collect(each, words, paths);
        words.pop();
    }
}
