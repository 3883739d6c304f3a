//! The time type of all state machines: milliseconds since an origin that the driver chooses.

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the origin. Processes use the Unix epoch as origin;
/// tests start at zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Returns the time `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the number of milliseconds since the origin.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the time `millis` milliseconds later.
    #[must_use]
    pub const fn after(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// Returns the time `millis` milliseconds earlier, but not before the origin.
    #[must_use]
    pub const fn before(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }

    /// Returns the number of milliseconds from `earlier` to this time, or zero if `earlier` is
    /// later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
