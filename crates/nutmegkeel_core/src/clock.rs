//! The one clock type: milliseconds since an origin that the driver chooses.

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds. The shells use the Unix epoch; tests start at zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// The time `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the origin.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// The time `millis` milliseconds later.
    #[must_use]
    pub const fn after(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// The time `millis` milliseconds earlier, the origin at the earliest.
    #[must_use]
    pub const fn before(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }

    /// Milliseconds from `earlier` to this time; zero when `earlier` lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
