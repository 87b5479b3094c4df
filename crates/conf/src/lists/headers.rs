//! Section headers of a list: `[KIND NAME]`.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ini::{Diagnostics, Section, hint};

/// The sections of one list by kind and name.
///
/// Names are known here even when the section under them has diagnostics, so that a
/// reference to one gives no fault of its own.
#[derive(Debug, Default)]
pub(crate) struct Headers<'a> {
    found: BTreeMap<(&'static str, SmolStr), &'a Section>,
}

impl<'a> Headers<'a> {
    /// Sorts sections by kind and name, and records faulty and doubled headers.
    pub(crate) fn new(
        kinds: &[&'static str],
        sections: &'a [Section],
        diagnostics: &mut Diagnostics,
    ) -> Headers<'a> {
        let mut headers = Headers::default();
        for section in sections {
            if let Some(id) = split(kinds, section, diagnostics) {
                headers.insert(id, section, diagnostics);
            }
        }
        headers
    }

    /// Returns the sections of a kind with their names.
    pub(crate) fn of(&self, kind: &'static str) -> impl Iterator<Item = (&str, &'a Section)> {
        let same = move |each: &(&(&'static str, SmolStr), &&'a Section)| each.0.0 == kind;
        self.found.iter().filter(same).map(|((_, name), section)| (name.as_str(), *section))
    }

    /// Whether there is a section of this kind and name.
    pub(crate) fn has(&self, kind: &'static str, name: &str) -> bool {
        self.found.contains_key(&(kind, name.into()))
    }

    /// Says that a name is not there. Compares with every name of the kind.
    pub(crate) fn missing(&self, kind: &'static str, name: &str) -> String {
        let hint = hint(name, self.of(kind).map(|(each, _)| each));
        format!("there is no {kind} `{name}`{hint}")
    }

    fn insert(
        &mut self,
        id: (&'static str, SmolStr),
        section: &'a Section,
        diagnostics: &mut Diagnostics,
    ) {
        if let Some(first) = self.found.get(&id) {
            let problem = format!("the section is given twice, first in line {}", first.line);
            diagnostics.push(section.fault_at(
                section.line,
                "",
                problem,
                "one section for each name",
            ));
            return;
        }
        self.found.insert(id, section);
    }
}

fn split(
    kinds: &[&'static str],
    section: &Section,
    diagnostics: &mut Diagnostics,
) -> Option<(&'static str, SmolStr)> {
    let mut fault = |problem: String| {
        let headers: Vec<String> = kinds.iter().map(|kind| format!("[{kind} NAME]")).collect();
        diagnostics.push(section.fault_at(section.line, "", problem, headers.join(" or ")));
    };
    let (word, name) = section.header.split_once(' ').unwrap_or((&section.header, ""));
    let Some(kind) = kinds.iter().find(|kind| **kind == word) else {
        let hint = hint(word, kinds.iter().copied());
        fault(format!("the section is not known{hint}"));
        return None;
    };
    // Any id type checks a name alike.
    match name.parse::<vg_base::PlanId>() {
        Ok(_) => Some((*kind, name.into())),
        Err(e) => {
            fault(format!("the name is refused: {e}"));
            None
        }
    }
}
