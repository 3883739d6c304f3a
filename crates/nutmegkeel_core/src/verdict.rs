//! Whether a request may have run at a backend server.

use serde::{Deserialize, Serialize};

/// Whether a request may have run, stated with every error that a caller or operator gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request reached a backend server.
    NotRun,
    /// Part of the request may have reached one, so the system must not send it again for the
    /// caller.
    MayHaveRun,
    /// The backend server answered.
    Ran,
}

impl Verdict {
    /// Returns the text used in the response header `nutmegkeel-verdict` and in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}
