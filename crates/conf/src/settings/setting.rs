//! One row of the table of settings.

/// A setting as operators see it.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Flag without the two dashes.
    pub name: &'static str,
    /// Section of the file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// Default; `None`: the setting must be given.
    pub default: Option<&'static str>,
    /// What is accepted.
    pub accepted: &'static str,
    /// Lines of the description.
    pub(crate) help: &'static [&'static str],
}

impl Setting {
    /// Returns the description in one line.
    pub fn help(&self) -> String {
        let lines: Vec<&str> = self.help.iter().map(|line| line.trim()).collect();
        lines.join(" ")
    }
}
