//! Cutting of a text into sections and entries.

use ini::{Ini, ParseOption};
use smol_str::SmolStr;

use crate::ini::fault::quoted;
use crate::ini::{Diagnostic, Diagnostics, Entry, Section};

const LINE_ACCEPTED: &str = "`[section]`, `key = value`, a comment after `;` or `#` at the start \
    of a line, or an indented line that goes on with a value";

/// What one logical line says.
enum Line {
    Header(SmolStr),
    Entry(SmolStr, String),
}

/// Reads all sections of a text; what can't be read becomes diagnostics.
pub(crate) fn scan(source: &str, text: &str, diagnostics: &mut Diagnostics) -> Vec<Section> {
    let mut scanner = Scanner { source: source.into(), sections: Vec::new(), diagnostics };
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    for (number, line) in (1..).zip(text.lines()) {
        scanner.take(number, line);
    }
    scanner.sections
}

struct Scanner<'a> {
    source: SmolStr,
    sections: Vec<Section>,
    diagnostics: &'a mut Diagnostics,
}

impl Scanner<'_> {
    fn take(&mut self, number: u32, line: &str) {
        let trimmed = line.trim();
        if trimmed.is_empty() || trimmed.starts_with([';', '#']) {
            return;
        }
        if line.starts_with([' ', '\t']) && !trimmed.starts_with('[') && self.go_on(number, trimmed)
        {
            return;
        }
        match meaning(trimmed) {
            Some(Line::Header(header)) => self.open(number, header),
            Some(Line::Entry(key, value)) => self.add(number, key, value),
            None => self.fault(number, format!("{} can't be read", quoted(trimmed))),
        }
    }

    /// Joins a continuation line to the value before it, if there is one.
    fn go_on(&mut self, line: u32, more: &str) -> bool {
        let entry = self.sections.last_mut().and_then(|each| each.entries.last_mut());
        let Some(entry) = entry else { return false };
        entry.last = line;
        entry.value.push('\n');
        entry.value.push_str(more);
        true
    }

    fn open(&mut self, line: u32, header: SmolStr) {
        let source = self.source.clone();
        self.sections.push(Section { source, line, header, entries: Vec::new() });
    }

    fn add(&mut self, line: u32, key: SmolStr, value: String) {
        match self.sections.last_mut() {
            Some(section) => section.entries.push(Entry { line, last: line, key, value }),
            None => self.fault(line, format!("{} stands before any section", quoted(&key))),
        }
    }

    fn fault(&mut self, line: u32, problem: String) {
        self.diagnostics.push(Diagnostic {
            source: self.source.clone(),
            line,
            section: self.sections.last().map(|each| each.header.clone()).unwrap_or_default(),
            key: SmolStr::default(),
            problem,
            accepted: LINE_ACCEPTED.to_owned(),
        });
    }
}

/// Lets `rust-ini` read one line; `None` unless it is one header or one entry.
fn meaning(line: &str) -> Option<Line> {
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let parsed = Ini::load_from_str_opt(line, option).ok()?;
    let mut found = None;
    for (header, entries) in &parsed {
        let header = header.map(|each| Line::Header(one_space(each)));
        let entries = entries.iter().map(|(key, value)| Line::Entry(key.into(), value.to_owned()));
        for each in header.into_iter().chain(entries) {
            if found.replace(each).is_some() {
                return None;
            }
        }
    }
    found
}

fn one_space(header: &str) -> SmolStr {
    let mut parts = header.split_whitespace();
    let first = parts.next().unwrap_or_default();
    parts.fold(SmolStr::new(first), |joined, part| smol_str::format_smolstr!("{joined} {part}"))
}
