//! Colours.

/// Marks words with colours, or leaves them plain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Style {
    colored: bool,
}

impl Style {
    /// Makes a style.
    pub(crate) fn new(colored: bool) -> Style {
        Style { colored }
    }

    /// Marks what is well.
    pub(crate) fn good(self, text: &str) -> String {
        self.paint("32", text)
    }

    /// Marks what needs a look.
    pub(crate) fn warn(self, text: &str) -> String {
        self.paint("33", text)
    }

    /// Marks what is wrong or lost.
    pub(crate) fn bad(self, text: &str) -> String {
        self.paint("31", text)
    }

    /// Marks a heading.
    pub(crate) fn head(self, text: &str) -> String {
        self.paint("1", text)
    }

    fn paint(self, code: &str, text: &str) -> String {
        if self.colored { format!("\x1b[{code}m{text}\x1b[0m") } else { text.to_owned() }
    }
}
