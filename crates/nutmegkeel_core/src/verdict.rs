//! Whether a request may have run at a backend server.

use serde::{Deserialize, Serialize};

/// The verdict that goes with every error a caller or operator sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request reached a backend server.
    NotRun,
    /// Some of it may have; nobody may send it again on the caller's behalf.
    MayHaveRun,
    /// The backend server answered.
    Ran,
}

impl Verdict {
    /// The text used in the response header `nutmegkeel-verdict` and in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}
