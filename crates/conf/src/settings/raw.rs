//! Texts of settings before they are checked.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ini::{Diagnostic, Diagnostics, Entry, Section, ValueParser, hint, scan};
use crate::settings::{Setting, Settings, SettingsError, TABLE};

/// Longest accepted settings file.
const MAX_FILE_BYTES: usize = 256 * 1024;

/// Source of diagnostics in flags.
const COMMAND_LINE: &str = "command line";

/// Texts of settings from a file and from flags.
#[derive(Debug, Clone, Default)]
pub struct RawSettings {
    values: BTreeMap<&'static str, Value>,
    diagnostics: Diagnostics,
}

/// A text and where it stands.
#[derive(Debug, Clone)]
struct Value {
    source: SmolStr,
    line: u32,
    text: String,
}

impl RawSettings {
    /// Takes in the text of a settings file; `name` stands in its diagnostics.
    pub fn add_file(&mut self, name: &str, text: &str) {
        if text.len() > MAX_FILE_BYTES {
            let problem = format!("the file has {} bytes", text.len());
            let accepted = format!("at most {MAX_FILE_BYTES} bytes");
            self.diagnostics.push(whole(name, "", problem, accepted));
            return;
        }
        let sections = scan(name, text, &mut self.diagnostics);
        for (at, section) in sections.iter().enumerate() {
            if self.diagnostics.is_full() {
                return;
            }
            let before = sections[..at].iter().find(|each| each.header == section.header);
            self.add_section(section, before);
        }
    }

    /// Takes in a flag, which goes before the file.
    pub fn add_flag(&mut self, name: &str, text: &str) {
        let known = TABLE.iter().find(|each| each.name == name);
        let Some(setting) = known else {
            let names: Vec<&str> = TABLE.iter().map(|each| each.name).collect();
            let fault = whole(COMMAND_LINE, name, "the flag is not known".into(), names.join(", "));
            self.diagnostics.push(fault);
            return;
        };
        let value = Value { source: COMMAND_LINE.into(), line: 0, text: text.to_owned() };
        self.values.insert(setting.name, value);
    }

    /// Records a fault at a setting.
    pub(crate) fn fault(
        &mut self,
        name: &'static str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        let Some(setting) = TABLE.iter().find(|each| each.name == name) else { return };
        let value = self.values.get(name);
        let in_file = value.filter(|each| each.line > 0);
        let source = value.map_or(SmolStr::new_static("settings"), |each| each.source.clone());
        let flag = smol_str::format_smolstr!("--{name}");
        let from_flag = value.is_some() && in_file.is_none();
        self.diagnostics.push(Diagnostic {
            source,
            line: in_file.map_or(0, |each| each.line),
            section: if from_flag { SmolStr::default() } else { setting.section.into() },
            key: if from_flag { flag } else { setting.key.into() },
            problem: problem.into(),
            accepted: accepted.into(),
        });
    }

    /// Parses one setting or its default.
    pub(crate) fn parse<T>(&mut self, name: &'static str, kind: &ValueParser<T>) -> Option<T> {
        let setting = TABLE.iter().find(|each| each.name == name)?;
        let given = self.values.get(name).map(|value| value.text.as_str());
        let Some(text) = given.or(setting.default) else {
            let problem = format!("the setting is missing, also as the flag --{name}");
            self.fault(name, problem, kind.accepted);
            return None;
        };
        match (kind.parse)(text) {
            Ok(value) => Some(value),
            Err(problem) => {
                self.fault(name, problem, kind.accepted);
                None
            }
        }
    }

    /// Returns the settings if there are no diagnostics.
    pub(crate) fn finish(self, settings: Option<Settings>) -> Result<Settings, SettingsError> {
        match self.diagnostics.into_result(settings) {
            Ok(Some(settings)) => Ok(settings),
            // Not reached: a setting that is `None` has left a fault.
            Ok(None) => Err(SettingsError::Invalid { diagnostics: Diagnostics::default() }),
            Err(diagnostics) => Err(SettingsError::Invalid { diagnostics }),
        }
    }

    fn add_section(&mut self, section: &Section, before: Option<&Section>) {
        if let Some(first) = before {
            let problem = format!("the section is given twice, first in line {}", first.line);
            self.diagnostics.push(section.fault_at(
                section.line,
                "",
                problem,
                "one section of each name",
            ));
            return;
        }
        let known: Vec<&Setting> =
            TABLE.iter().filter(|each| each.section == section.header).collect();
        if known.is_empty() {
            self.unknown_section(section);
            return;
        }
        for entry in &section.entries {
            self.add_entry(section, entry, &known);
        }
    }

    fn unknown_section(&mut self, section: &Section) {
        let mut names: Vec<&str> = TABLE.iter().map(|each| each.section).collect();
        names.dedup();
        let hint = hint(&section.header, names.iter().copied());
        let problem = format!("the section is not known{hint}");
        self.diagnostics.push(section.fault_at(section.line, "", problem, names.join(", ")));
    }

    fn add_entry(&mut self, section: &Section, entry: &Entry, known: &[&Setting]) {
        let Some(setting) = known.iter().find(|each| each.key == entry.key) else {
            let keys: Vec<&str> = known.iter().map(|each| each.key).collect();
            let hint = hint(&entry.key, keys.iter().copied());
            let problem = format!("the key is not known{hint}");
            let fault = section.fault_at(entry.line, &entry.key, problem, keys.join(", "));
            self.diagnostics.push(fault);
            return;
        };
        let value =
            Value { source: section.source.clone(), line: entry.line, text: entry.value.clone() };
        if let Some(first) = self.values.insert(setting.name, value) {
            let problem = format!("the key is given twice, first in line {}", first.line);
            self.diagnostics.push(section.fault_at(entry.line, &entry.key, problem, "one value"));
        }
    }
}

fn whole(source: &str, flag: &str, problem: String, accepted: String) -> Diagnostic {
    let key = if flag.is_empty() { SmolStr::default() } else { format!("--{flag}").into() };
    Diagnostic {
        source: source.into(),
        line: 0,
        section: SmolStr::default(),
        key,
        problem,
        accepted,
    }
}
