//! Exit status.

use std::process::ExitCode;

/// How a command ended, as its exit status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Status 0: what was asked for is done.
    Success = 0,
    /// Status 1: it failed, or is not known to be done.
    Failed = 1,
    /// Status 2: the command line, settings or lists are wrong.
    Usage = 2,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
