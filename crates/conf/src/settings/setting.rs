//! A row of the table of settings.

/// The description of a setting for operators.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Name of the flag without the two dashes.
    pub name: &'static str,
    /// Section of the file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// Default value, or `None` if the setting is required.
    pub default: Option<&'static str>,
    /// What values are accepted.
    pub accepted: &'static str,
    /// Lines of the description, taken from the doc comment of the field.
    pub(crate) help: &'static [&'static str],
}

impl Setting {
    /// Returns the description in one line.
    pub fn help(&self) -> String {
        let lines: Vec<&str> = self.help.iter().map(|line| line.trim()).collect();
        lines.join(" ")
    }
}
