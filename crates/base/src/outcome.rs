//! The outcome of a request, as far as it can be proved.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint's complete answer was passed to the caller.
    #[display("answered")]
    Answered,
    /// It is proved that no byte of the request was written to an endpoint and
    /// that none will be.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// The text is not the name of an [`Outcome`].
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
