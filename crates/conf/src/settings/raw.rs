//! Values of settings as text, before they are checked.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ini::{Diagnostic, Diagnostics, Entry, Section, ValueParser, scan, suggestion};
use crate::settings::{Setting, Settings, SettingsError, TABLE};

/// Largest accepted settings file in bytes.
const MAX_FILE_BYTES: usize = 256 * 1024;

/// Source name in diagnostics about flags.
const COMMAND_LINE: &str = "command line";

/// The values of settings as text, collected from a file and from flags.
#[derive(Debug, Clone, Default)]
pub struct RawSettings {
    values: BTreeMap<&'static str, RawValue>,
    diagnostics: Diagnostics,
}

/// The text of a value and its place. Line 0 stands for a flag.
#[derive(Debug, Clone)]
struct RawValue {
    source: SmolStr,
    line: u32,
    text: String,
}

impl RawSettings {
    /// Adds the text of a settings file, which diagnostics call `name`.
    pub fn add_file(&mut self, name: &str, text: &str) {
        if text.len() > MAX_FILE_BYTES {
            let problem = format!("the file has {} bytes", text.len());
            let accepted = format!("at most {MAX_FILE_BYTES} bytes");
            self.diagnostics.push(without_line(name, "", problem, accepted));
            return;
        }
        let sections = scan(name, text, &mut self.diagnostics);
        for (index, section) in sections.iter().enumerate() {
            if self.diagnostics.is_full() {
                return;
            }
            let earlier = sections[..index].iter().find(|each| each.header == section.header);
            self.add_section(section, earlier);
        }
    }

    /// Adds the value of a flag, which overrides the file. Flags are added after
    /// the file.
    pub fn add_flag(&mut self, name: &str, text: &str) {
        let found = TABLE.iter().find(|each| each.name == name);
        let Some(setting) = found else {
            let names: Vec<&str> = TABLE.iter().map(|each| each.name).collect();
            let diagnostic =
                without_line(COMMAND_LINE, name, "the flag is not known".into(), names.join(", "));
            self.diagnostics.push(diagnostic);
            return;
        };
        let value = RawValue { source: COMMAND_LINE.into(), line: 0, text: text.to_owned() };
        self.values.insert(setting.name, value);
    }

    /// Records a diagnostic at the place where a setting is given, or at its section
    /// and key if it is not given. `name` must be the name of a setting in [`TABLE`];
    /// for another name no diagnostic is recorded.
    pub(crate) fn report(
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

    /// Parses the given value of a setting, or its default.
    pub(crate) fn parse<T>(&mut self, name: &'static str, parser: &ValueParser<T>) -> Option<T> {
        let setting = TABLE.iter().find(|each| each.name == name)?;
        let given = self.values.get(name).map(|value| value.text.as_str());
        let Some(text) = given.or(setting.default) else {
            let problem = format!(
                "the setting is missing; set it in the settings file or by the flag --{name}"
            );
            self.report(name, problem, parser.accepted);
            return None;
        };
        match (parser.parse)(text) {
            Ok(value) => Some(value),
            Err(problem) => {
                self.report(name, problem, parser.accepted);
                None
            }
        }
    }

    /// Returns the settings, or [`SettingsError::Invalid`] if there are diagnostics.
    pub(crate) fn finish(self, settings: Option<Settings>) -> Result<Settings, SettingsError> {
        match self.diagnostics.into_result(settings) {
            Ok(Some(settings)) => Ok(settings),
            // Unreachable: a diagnostic was recorded for each setting that is `None`.
            Ok(None) => Err(SettingsError::Invalid { diagnostics: Diagnostics::default() }),
            Err(diagnostics) => Err(SettingsError::Invalid { diagnostics }),
        }
    }

    fn add_section(&mut self, section: &Section, earlier: Option<&Section>) {
        if let Some(first) = earlier {
            let problem = format!("the section is given twice, first in line {}", first.line);
            self.diagnostics.push(section.diagnostic_at(
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
        let suggestion = suggestion(&section.header, names.iter().copied());
        let problem = format!("the section is not known{suggestion}");
        self.diagnostics.push(section.diagnostic_at(section.line, "", problem, names.join(", ")));
    }

    fn add_entry(&mut self, section: &Section, entry: &Entry, known: &[&Setting]) {
        let Some(setting) = known.iter().find(|each| each.key == entry.key) else {
            let keys: Vec<&str> = known.iter().map(|each| each.key).collect();
            let suggestion = suggestion(&entry.key, keys.iter().copied());
            let problem = format!("the key is not known{suggestion}");
            let diagnostic =
                section.diagnostic_at(entry.line, &entry.key, problem, keys.join(", "));
            self.diagnostics.push(diagnostic);
            return;
        };
        let value = RawValue {
            source: section.source.clone(),
            line: entry.line,
            text: entry.value.clone(),
        };
        if let Some(first) = self.values.insert(setting.name, value) {
            let problem = format!("the key is given twice, first in line {}", first.line);
            self.diagnostics.push(section.diagnostic_at(
                entry.line,
                &entry.key,
                problem,
                "one value",
            ));
        }
    }
}

/// Makes a diagnostic without a line, about a whole source or one of its flags.
fn without_line(source: &str, flag: &str, problem: String, accepted: String) -> Diagnostic {
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
