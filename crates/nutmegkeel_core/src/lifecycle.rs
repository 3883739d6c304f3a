//! Life cycle of a serving process: announced, warming, serving, leaving, gone.
//!
//! Each stage is a type, so that an invalid transition does not compile.

use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Duration of the warm-up after the announcement of a backend server, in milliseconds.
pub const WARM_UP_MS: u64 = 2_000;

/// The stage as it is sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The process is known, but its backend server has not announced its capacity yet.
    Announced,
    /// Accepts work up to a limit that grows.
    Warming,
    /// Accepts work up to its full limit.
    Serving,
    /// Accepts no new flows; open flows continue.
    Leaving,
    /// All flows have ended.
    Gone,
}

impl Phase {
    /// Returns whether new flows may be placed at a process in this phase.
    #[must_use]
    pub const fn takes_new(self) -> bool {
        matches!(self, Self::Warming | Self::Serving)
    }
}

/// Stage before the announcement of the backend server.
#[derive(Debug, Clone)]
pub struct Announced;
/// Stage in which the limit grows.
#[derive(Debug, Clone)]
pub struct Warming {
    since: Time,
}
/// Stage with the full limit.
#[derive(Debug, Clone)]
pub struct Serving;
/// Stage in which open flows finish.
#[derive(Debug, Clone)]
pub struct Leaving {
    since: Time,
}
/// Final stage, after the last flow.
#[derive(Debug, Clone)]
pub struct Gone;

/// A life cycle in stage `S`.
#[derive(Debug, Clone)]
pub struct Lifecycle<S> {
    stage: S,
}

impl Lifecycle<Announced> {
    /// Creates a life cycle in its first stage.
    #[must_use]
    pub const fn begin() -> Self {
        Self { stage: Announced }
    }

    /// Starts the warm-up after the announcement of the backend server.
    #[must_use]
    pub const fn warm(self, now: Time) -> Lifecycle<Warming> {
        Lifecycle { stage: Warming { since: now } }
    }
}

impl Lifecycle<Warming> {
    /// Returns the share of the full limit in percent, which grows from 20 to 100 over
    /// [`WARM_UP_MS`].
    ///
    /// Guards against slow cold starts: a backend server that gets its full share of requests at
    /// once answers the first ones late or sheds them.
    #[must_use]
    pub fn percent(&self, now: Time) -> u64 {
        const FIRST_PERCENT: u64 = 20;
        let grown = (100 - FIRST_PERCENT) * now.since(self.stage.since) / WARM_UP_MS;
        (FIRST_PERCENT + grown).min(100)
    }

    /// Enters full service after the warm-up.
    ///
    /// # Errors
    /// Returns the life cycle unchanged while the warm-up lasts.
    pub fn serve(self, now: Time) -> Result<Lifecycle<Serving>, Self> {
        if now.since(self.stage.since) < WARM_UP_MS {
            return Err(self);
        }
        Ok(Lifecycle { stage: Serving })
    }
}

impl<S> Lifecycle<S> {
    /// Starts leaving: no new flows are accepted from now on.
    #[must_use]
    pub fn leave(self, now: Time) -> Lifecycle<Leaving> {
        Lifecycle { stage: Leaving { since: now } }
    }
}

impl Lifecycle<Leaving> {
    /// Returns the time at which leaving began.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.stage.since
    }

    /// Ends the life cycle once no flow or request is open.
    ///
    /// Guards against a planned stop that aborts a request: the process cannot exit before this
    /// transition, and this transition fails while `open` is not zero.
    ///
    /// # Errors
    /// Returns the life cycle unchanged while flows or requests are open.
    pub fn finish(self, open: usize) -> Result<Lifecycle<Gone>, Self> {
        if open > 0 {
            return Err(self);
        }
        Ok(Lifecycle { stage: Gone })
    }
}

/// A life cycle in any stage.
#[derive(Debug, Clone)]
pub enum Stage {
    /// See [`Announced`].
    Announced(Lifecycle<Announced>),
    /// See [`Warming`].
    Warming(Lifecycle<Warming>),
    /// See [`Serving`].
    Serving(Lifecycle<Serving>),
    /// See [`Leaving`].
    Leaving(Lifecycle<Leaving>),
    /// See [`Gone`].
    Gone(Lifecycle<Gone>),
}

impl Stage {
    /// Returns the phase of this stage.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        match self {
            Self::Announced(_) => Phase::Announced,
            Self::Warming(_) => Phase::Warming,
            Self::Serving(_) => Phase::Serving,
            Self::Leaving(_) => Phase::Leaving,
            Self::Gone(_) => Phase::Gone,
        }
    }

    /// Makes the transitions that depend on time and open flows: warming to serving, leaving to
    /// gone.
    #[must_use]
    pub fn advance(self, now: Time, open: usize) -> Self {
        match self {
            Self::Warming(lifecycle) => {
                lifecycle.serve(now).map_or_else(Self::Warming, Self::Serving)
            }
            Self::Leaving(lifecycle) => {
                lifecycle.finish(open).map_or_else(Self::Leaving, Self::Gone)
            }
            other => other,
        }
    }

    /// Starts the warm-up if the stage is announced; any other stage is unchanged.
    #[must_use]
    pub fn warm(self, now: Time) -> Self {
        match self {
            Self::Announced(lifecycle) => Self::Warming(lifecycle.warm(now)),
            other => other,
        }
    }

    /// Starts leaving; a stage that is already leaving or gone is unchanged.
    #[must_use]
    pub fn leave(self, now: Time) -> Self {
        match self {
            Self::Announced(lifecycle) => Self::Leaving(lifecycle.leave(now)),
            Self::Warming(lifecycle) => Self::Leaving(lifecycle.leave(now)),
            Self::Serving(lifecycle) => Self::Leaving(lifecycle.leave(now)),
            other => other,
        }
    }
}
