//! Values of the log settings.

use derive_more::Display;

/// Least severe level that is logged. Each level includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum LogLevel {
    /// Errors that an operator has to act on.
    #[display("error")]
    Error,
    /// Unusual events.
    #[display("warn")]
    Warn,
    /// Steps of normal operation.
    #[display("info")]
    Info,
    /// Each request and message.
    #[display("debug")]
    Debug,
}

/// Format of the lines of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LogFormat {
    /// Text for people.
    #[display("text")]
    Text,
    /// One JSON object per line.
    #[display("json")]
    Json,
}
