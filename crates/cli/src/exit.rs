//! Exit statuses.

use std::process::ExitCode;

/// The exit status of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Status 0: the command did what was requested.
    Success = 0,
    /// Status 1: the command failed, or its outcome is not known.
    Failed = 1,
    /// Status 2: the command line, the settings or the lists are not valid.
    Usage = 2,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
