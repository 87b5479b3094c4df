//! Tests that compare whole sessions with golden files, because operators and their scripts
//! depend on the texts, the JSON and the exit statuses.

use clap::Command;

use crate::support::session::{check_session, run_command};

/// An error that is not reported here would be noticed only when the lists are stored, or
/// when a process starts with the settings.
#[test]
fn check_and_diff() {
    check_session("check");
}

/// An operator who edits an old revision must see a conflict and must not overwrite the
/// changes of others.
#[test]
fn apply_show_and_history() {
    check_session("apply");
}

/// If an outcome is unknown, a report of success or failure would make the operator apply a
/// change twice or not at all.
#[test]
fn lost_answers_and_outages() {
    check_session("lost");
}

/// A change must not be reported as in force while a live entry host does not have it, and
/// the status must be shown even if the store is out of reach or shows an older revision.
#[test]
fn status_and_waiting_until_in_force() {
    check_session("force");
}

/// Granting or withdrawing a key edits the lists and must keep everything else in them.
#[test]
fn keys() {
    check_session("keys");
}

/// A caller repeats a request according to the reported outcome. A wrong report would make
/// work run twice or not at all.
#[test]
fn calls_and_jobs() {
    check_session("calls");
}

/// Events that are missing must be reported, because a gap looks as if nothing had happened.
#[test]
fn timeline() {
    check_session("timeline");
}

/// An invalid command line must fail with status 2 and a message that says what is accepted.
#[test]
fn invalid_command_lines() {
    check_session("usage");
}

/// A new command without help, a manual page or a shell completion would go unnoticed.
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
