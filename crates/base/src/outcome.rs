//! How a request ended, as far as it can be proved.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The three ways in which a request can end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint's whole answer was handed to the caller.
    #[display("answered")]
    Answered,
    /// Proved: no byte was written to an endpoint, and none will be.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// A text that names none of the outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("an outcome is answered, not-run or unknown"))]
pub struct OutcomeError;

impl FromStr for Outcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Outcome, OutcomeError> {
        match text {
            "answered" => Ok(Outcome::Answered),
            "not-run" => Ok(Outcome::NotRun),
            "unknown" => Ok(Outcome::Unknown),
            _ => Err(OutcomeError),
        }
    }
}
