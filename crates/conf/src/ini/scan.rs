//! Splitting of a text into sections and entries.

use ini::{Ini, ParseOption};
use smol_str::SmolStr;

use crate::ini::diagnostic::quoted;
use crate::ini::{Diagnostic, Diagnostics, Entry, Section};

const LINE_ACCEPTED: &str = "`[section]`, `key = value`, a comment after `;` or `#` at the start \
    of a line, or an indented line that continues a value";

/// The content of one line.
enum Line {
    Header(SmolStr),
    Entry(SmolStr, String),
}

/// Reads all sections of a text and records a diagnostic for each line that can't
/// be parsed.
pub(crate) fn scan(source: &str, text: &str, diagnostics: &mut Diagnostics) -> Vec<Section> {
    let mut scanner = Scanner { source: source.into(), sections: Vec::new(), diagnostics };
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    for (number, line) in (1..).zip(text.lines()) {
        scanner.read_line(number, line);
    }
    scanner.sections
}

struct Scanner<'a> {
    source: SmolStr,
    sections: Vec<Section>,
    diagnostics: &'a mut Diagnostics,
}

impl Scanner<'_> {
    fn read_line(&mut self, number: u32, line: &str) {
        let trimmed = line.trim();
        if trimmed.is_empty() || trimmed.starts_with([';', '#']) {
            return;
        }
        if line.starts_with([' ', '\t'])
            && !trimmed.starts_with('[')
            && self.continue_value(number, trimmed)
        {
            return;
        }
        match parse_line(trimmed) {
            Some(Line::Header(header)) => self.open_section(number, header),
            Some(Line::Entry(key, value)) => self.add_entry(number, key, value),
            None => self.report(number, format!("{} can't be parsed", quoted(trimmed))),
        }
    }

    /// Appends a continuation line to the value before it. Returns `false` if
    /// there is no value yet.
    fn continue_value(&mut self, line: u32, text: &str) -> bool {
        let entry = self.sections.last_mut().and_then(|each| each.entries.last_mut());
        let Some(entry) = entry else { return false };
        entry.last_line = line;
        entry.value.push('\n');
        entry.value.push_str(text);
        true
    }

    fn open_section(&mut self, line: u32, header: SmolStr) {
        let source = self.source.clone();
        self.sections.push(Section { source, line, header, entries: Vec::new() });
    }

    fn add_entry(&mut self, line: u32, key: SmolStr, value: String) {
        match self.sections.last_mut() {
            Some(section) => section.entries.push(Entry { line, last_line: line, key, value }),
            None => self.report(line, format!("{} comes before the first section", quoted(&key))),
        }
    }

    fn report(&mut self, line: u32, problem: String) {
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

/// Parses one line by `rust-ini`. Returns `None` unless the line is exactly one
/// header or one entry.
fn parse_line(line: &str) -> Option<Line> {
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let parsed = Ini::load_from_str_opt(line, option).ok()?;
    let mut found = None;
    for (header, entries) in &parsed {
        let header = header.map(|each| Line::Header(normalize_spaces(each)));
        let entries = entries.iter().map(|(key, value)| Line::Entry(key.into(), value.to_owned()));
        for each in header.into_iter().chain(entries) {
            if found.replace(each).is_some() {
                return None;
            }
        }
    }
    found
}

/// Replaces each run of white space in a header by one space.
fn normalize_spaces(header: &str) -> SmolStr {
    let mut parts = header.split_whitespace();
    let first = parts.next().unwrap_or_default();
    parts.fold(SmolStr::new(first), |joined, part| smol_str::format_smolstr!("{joined} {part}"))
}
