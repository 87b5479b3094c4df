//! Edits of the list `plans` as text, which keep comments and order.

use snafu::Snafu;
use vg_base::prelude::*;

use crate::Diagnostics;
use crate::ini::{Entry, Section, hint, scan};
use crate::lists::{KeyDigest, PLANS};

/// Why a key is not granted or withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum EditError {
    /// The text can't be read.
    #[snafu(display("{diagnostics}"))]
    Unreadable {
        /// What is wrong with it.
        diagnostics: Diagnostics,
    },
    /// No plan is the team's.
    #[snafu(display("no plan has the team `{team}`{hint}"))]
    NoPlan {
        /// The team.
        team: TeamId,
        /// The closest team, if one is close.
        hint: String,
    },
    /// A plan has the key already.
    #[snafu(display("{digest} is a key of [{header}] already"))]
    DuplicateKey {
        /// The key's digest.
        digest: KeyDigest,
        /// Header of the plan.
        header: SmolStr,
    },
    /// The team does not have the key.
    #[snafu(display("{digest} is no key of the team `{team}`"))]
    UnknownKey {
        /// The key's digest.
        digest: KeyDigest,
        /// The team.
        team: TeamId,
    },
}

/// Adds a key to a team's plan.
///
/// # Errors
///
/// [`EditError`] if the team has no plan or the key is in use.
pub fn grant_key(plans: &str, team: &TeamId, digest: KeyDigest) -> Result<String, EditError> {
    let sections = read(plans)?;
    let section = section_of(&sections, team)?;
    if let Some(holder) = sections.iter().find(|each| holds(each, digest)) {
        return Err(EditError::DuplicateKey { digest, header: holder.header.clone() });
    }
    let mut lines: Vec<String> = plans.lines().map(str::to_owned).collect();
    match section.entry("keys") {
        Some(entry) => lines.insert(index(entry.last) + 1, format!("    {digest}")),
        None => lines.insert(index(section.line) + 1, format!("keys = {digest}")),
    }
    Ok(joined(&lines))
}

/// Removes a key from a team's plan.
///
/// # Errors
///
/// [`EditError`] if the team has no plan or not this key.
pub fn withdraw_key(plans: &str, team: &TeamId, digest: KeyDigest) -> Result<String, EditError> {
    let sections = read(plans)?;
    let section = section_of(&sections, team)?;
    let entry = section.entry("keys").filter(|_| holds(section, digest));
    let Some(entry) = entry else {
        return Err(EditError::UnknownKey { digest, team: team.clone() });
    };
    let lines = plans.lines().enumerate();
    let kept: Vec<String> =
        lines.filter_map(|(at, line)| without(at, line, entry, digest)).collect();
    Ok(joined(&kept))
}

fn read(plans: &str) -> Result<Vec<Section>, EditError> {
    let mut diagnostics = Diagnostics::default();
    let sections = scan(PLANS, plans, &mut diagnostics);
    diagnostics.into_result(sections).map_err(|diagnostics| EditError::Unreadable { diagnostics })
}

fn section_of<'a>(sections: &'a [Section], team: &TeamId) -> Result<&'a Section, EditError> {
    let team_of = |section: &'a Section| section.entry("team").map(|each| each.value.as_str());
    let found = sections.iter().find(|each| team_of(each) == Some(team.as_str()));
    found.ok_or_else(|| {
        let hint = hint(team.as_str(), sections.iter().filter_map(team_of));
        EditError::NoPlan { team: team.clone(), hint }
    })
}

fn holds(section: &Section, digest: KeyDigest) -> bool {
    let keys = section.entry("keys");
    keys.is_some_and(|entry| split(&entry.value).any(|item| item.parse() == Ok(digest)))
}

/// Drops a digest from a line of the entry, and the line if nothing is left.
fn without(at: usize, line: &str, entry: &Entry, digest: KeyDigest) -> Option<String> {
    let inside = (index(entry.line)..=index(entry.last)).contains(&at);
    let comment = line.trim_start().starts_with([';', '#']);
    if !inside || comment || !split(line).any(|item| item.parse() == Ok(digest)) {
        return Some(line.to_owned());
    }
    let first = at == index(entry.line);
    let (head, items) = if first { line.split_at(value_start(line)) } else { ("    ", line) };
    let kept: Vec<&str> = split(items).filter(|item| item.parse() != Ok(digest)).collect();
    if !first && kept.is_empty() {
        return None;
    }
    Some(format!("{head}{}", kept.join(", ")).trim_end().to_owned())
}

/// Returns where the value of a line `key = value` starts.
fn value_start(line: &str) -> usize {
    let sign = line.find(['=', ':']).map_or(0, |at| at + 1);
    let blanks = line[sign..].len() - line[sign..].trim_start().len();
    sign + blanks
}

fn split(text: &str) -> impl Iterator<Item = &str> {
    text.split(|c: char| c == ',' || c.is_whitespace()).filter(|item| !item.is_empty())
}

fn index(line: u32) -> usize {
    line.saturating_sub(1) as usize
}

fn joined(lines: &[String]) -> String {
    lines.iter().flat_map(|line| [line.as_str(), "\n"]).collect()
}
