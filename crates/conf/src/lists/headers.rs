//! Section headers of a list: `[KIND NAME]`.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ini::{Diagnostics, Section, suggestion};

/// The sections of one list by kind and name.
///
/// A section is listed here even if its keys are invalid, so that a reference to
/// it does not give a second diagnostic.
#[derive(Debug, Default)]
pub(crate) struct Headers<'a> {
    sections: BTreeMap<(&'static str, SmolStr), &'a Section>,
}

impl<'a> Headers<'a> {
    /// Indexes sections by kind and name, and records invalid and duplicate headers.
    pub(crate) fn new(
        kinds: &[&'static str],
        sections: &'a [Section],
        diagnostics: &mut Diagnostics,
    ) -> Headers<'a> {
        let mut headers = Headers::default();
        for section in sections {
            if let Some(id) = parse_header(kinds, section, diagnostics) {
                headers.insert(id, section, diagnostics);
            }
        }
        headers
    }

    /// Returns the names and sections of a kind.
    pub(crate) fn of_kind(&self, kind: &'static str) -> impl Iterator<Item = (&str, &'a Section)> {
        let same = move |each: &(&(&'static str, SmolStr), &&'a Section)| each.0.0 == kind;
        self.sections.iter().filter(same).map(|((_, name), section)| (name.as_str(), *section))
    }

    /// Returns whether there is a section of this kind and name.
    pub(crate) fn contains(&self, kind: &'static str, name: &str) -> bool {
        self.sections.contains_key(&(kind, name.into()))
    }

    /// Returns the message that a name does not exist.
    ///
    /// This compares the name with every name of the kind, so callers make the
    /// message only if it is kept.
    pub(crate) fn missing_message(&self, kind: &'static str, name: &str) -> String {
        let suggestion = suggestion(name, self.of_kind(kind).map(|(each, _)| each));
        format!("there is no {kind} `{name}`{suggestion}")
    }

    fn insert(
        &mut self,
        id: (&'static str, SmolStr),
        section: &'a Section,
        diagnostics: &mut Diagnostics,
    ) {
        if let Some(first) = self.sections.get(&id) {
            let problem = format!("the section is given twice, first in line {}", first.line);
            diagnostics.push(section.diagnostic_at(
                section.line,
                "",
                problem,
                "one section for each name",
            ));
            return;
        }
        self.sections.insert(id, section);
    }
}

fn parse_header(
    kinds: &[&'static str],
    section: &Section,
    diagnostics: &mut Diagnostics,
) -> Option<(&'static str, SmolStr)> {
    let mut report = |problem: String| {
        let headers: Vec<String> = kinds.iter().map(|kind| format!("[{kind} NAME]")).collect();
        diagnostics.push(section.diagnostic_at(section.line, "", problem, headers.join(" or ")));
    };
    let (word, name) = section.header.split_once(' ').unwrap_or((&section.header, ""));
    let Some(kind) = kinds.iter().find(|kind| **kind == word) else {
        let suggestion = suggestion(word, kinds.iter().copied());
        report(format!("the section is not known{suggestion}"));
        return None;
    };
    // All id types check names by the same rules.
    match name.parse::<vg_base::PlanId>() {
        Ok(_) => Some((*kind, name.into())),
        Err(e) => {
            report(format!("the name is not valid: {e}"));
            None
        }
    }
}
