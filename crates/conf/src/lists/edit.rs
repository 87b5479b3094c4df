//! Edits of the text of the list `plans` that keep its comments and order.

use snafu::Snafu;
use vg_base::prelude::*;

use crate::Diagnostics;
use crate::ini::{Entry, Section, scan, suggestion};
use crate::lists::{KeyDigest, PLANS};

/// The reason why a key was not granted or withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum EditError {
    /// The text of the list can't be parsed.
    #[snafu(display("{diagnostics}"))]
    Unreadable {
        /// What is wrong with the text.
        diagnostics: Diagnostics,
    },
    /// No plan belongs to the team.
    #[snafu(display("no plan belongs to the team `{team}`{suggestion}"))]
    NoPlan {
        /// The team.
        team: TeamId,
        /// A suggestion of the closest team, or empty if none is close.
        suggestion: String,
    },
    /// A plan already has the key.
    #[snafu(display("{digest} is already a key of [{header}]"))]
    DuplicateKey {
        /// Digest of the key.
        digest: KeyDigest,
        /// Section header of the plan that has the key.
        header: SmolStr,
    },
    /// The team does not have the key.
    #[snafu(display("{digest} is not a key of the team `{team}`"))]
    UnknownKey {
        /// Digest of the key.
        digest: KeyDigest,
        /// The team.
        team: TeamId,
    },
}

/// Adds a key to a team's plan.
///
/// # Errors
///
/// Returns [`EditError`] if the text can't be parsed, the team has no plan or a
/// plan already has the key.
pub fn grant_key(plans: &str, team: &TeamId, digest: KeyDigest) -> Result<String, EditError> {
    let sections = parse_sections(plans)?;
    let section = find_section(&sections, team)?;
    if let Some(owner) = sections.iter().find(|each| contains_key(each, digest)) {
        return Err(EditError::DuplicateKey { digest, header: owner.header.clone() });
    }
    let mut lines: Vec<String> = plans.lines().map(str::to_owned).collect();
    match section.entry("keys") {
        Some(entry) => lines.insert(line_index(entry.last_line) + 1, format!("    {digest}")),
        None => lines.insert(line_index(section.line) + 1, format!("keys = {digest}")),
    }
    Ok(join_lines(&lines))
}

/// Removes a key from a team's plan.
///
/// # Errors
///
/// Returns [`EditError`] if the text can't be parsed, the team has no plan or its
/// plan does not have the key.
pub fn withdraw_key(plans: &str, team: &TeamId, digest: KeyDigest) -> Result<String, EditError> {
    let sections = parse_sections(plans)?;
    let section = find_section(&sections, team)?;
    let entry = section.entry("keys").filter(|_| contains_key(section, digest));
    let Some(entry) = entry else {
        return Err(EditError::UnknownKey { digest, team: team.clone() });
    };
    let lines = plans.lines().enumerate();
    let kept: Vec<String> =
        lines.filter_map(|(index, line)| remove_digest(index, line, entry, digest)).collect();
    Ok(join_lines(&kept))
}

fn parse_sections(plans: &str) -> Result<Vec<Section>, EditError> {
    let mut diagnostics = Diagnostics::default();
    let sections = scan(PLANS, plans, &mut diagnostics);
    diagnostics.into_result(sections).map_err(|diagnostics| EditError::Unreadable { diagnostics })
}

fn find_section<'a>(sections: &'a [Section], team: &TeamId) -> Result<&'a Section, EditError> {
    let team_of = |section: &'a Section| section.entry("team").map(|each| each.value.as_str());
    let found = sections.iter().find(|each| team_of(each) == Some(team.as_str()));
    found.ok_or_else(|| {
        let suggestion = suggestion(team.as_str(), sections.iter().filter_map(team_of));
        EditError::NoPlan { team: team.clone(), suggestion }
    })
}

fn contains_key(section: &Section, digest: KeyDigest) -> bool {
    let keys = section.entry("keys");
    keys.is_some_and(|entry| split_items(&entry.value).any(|item| item.parse() == Ok(digest)))
}

/// Removes a digest from a line if the line belongs to the entry.
///
/// Returns `None` if a continuation line has no other item, so that the whole line
/// goes. Lines outside of the entry and comment lines are returned unchanged.
fn remove_digest(index: usize, line: &str, entry: &Entry, digest: KeyDigest) -> Option<String> {
    let in_entry = (line_index(entry.line)..=line_index(entry.last_line)).contains(&index);
    let is_comment = line.trim_start().starts_with([';', '#']);
    if !in_entry || is_comment || !split_items(line).any(|item| item.parse() == Ok(digest)) {
        return Some(line.to_owned());
    }
    let is_first = index == line_index(entry.line);
    let (head, items) = if is_first { line.split_at(value_start(line)) } else { ("    ", line) };
    let kept: Vec<&str> = split_items(items).filter(|item| item.parse() != Ok(digest)).collect();
    if !is_first && kept.is_empty() {
        return None;
    }
    Some(format!("{head}{}", kept.join(", ")).trim_end().to_owned())
}

/// Returns the byte offset at which the value of a line `key = value` starts.
fn value_start(line: &str) -> usize {
    let separator = line.find(['=', ':']).map_or(0, |at| at + 1);
    let blanks = line[separator..].len() - line[separator..].trim_start().len();
    separator + blanks
}

fn split_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(|c: char| c == ',' || c.is_whitespace()).filter(|item| !item.is_empty())
}

/// Turns a line number from 1 into an index from 0.
fn line_index(line: u32) -> usize {
    line.saturating_sub(1) as usize
}

fn join_lines(lines: &[String]) -> String {
    lines.iter().flat_map(|line| [line.as_str(), "\n"]).collect()
}
