//! Colours of text output.

/// Adds colours to words, or leaves them unchanged if colours are off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Style {
    colored: bool,
}

impl Style {
    /// Makes a style with or without colours.
    pub(crate) fn new(colored: bool) -> Style {
        Style { colored }
    }

    /// Marks a good state in green.
    pub(crate) fn good(self, text: &str) -> String {
        self.paint("32", text)
    }

    /// Marks a warning in yellow.
    pub(crate) fn warn(self, text: &str) -> String {
        self.paint("33", text)
    }

    /// Marks an error in red.
    pub(crate) fn bad(self, text: &str) -> String {
        self.paint("31", text)
    }

    /// Marks a heading in bold.
    pub(crate) fn head(self, text: &str) -> String {
        self.paint("1", text)
    }

    fn paint(self, code: &str, text: &str) -> String {
        if self.colored { format!("\x1b[{code}m{text}\x1b[0m") } else { text.to_owned() }
    }
}
