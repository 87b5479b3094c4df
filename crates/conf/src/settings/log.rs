//! Settings of the log.

use derive_more::Display;

/// Least level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum LogLevel {
    /// What an operator has to act on.
    #[display("error")]
    Error,
    /// What is out of the ordinary, too.
    #[display("warn")]
    Warn,
    /// Steps of ordinary work, too.
    #[display("info")]
    Info,
    /// Each request and message, too.
    #[display("debug")]
    Debug,
}

/// Form of the log's lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LogFormat {
    /// For people.
    #[display("text")]
    Text,
    /// One JSON object a line.
    #[display("json")]
    Json,
}
