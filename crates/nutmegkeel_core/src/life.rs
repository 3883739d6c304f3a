//! Life cycle of a process that serves: announced, warming, serving, leaving, gone.
//!
//! Each stage is a type, so that a transition that skips a stage does not compile.

use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// How long a backend server warms up after its announcement, in milliseconds.
pub const WARM_UP_MS: u64 = 2_000;

/// The stage as peers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Known, but its backend server has not said what it can take.
    Announced,
    /// Takes work under a limit that grows.
    Warming,
    /// Takes work.
    Serving,
    /// Takes no new flow; open flows go on.
    Leaving,
    /// Has ended every flow.
    Gone,
}

impl Phase {
    /// Whether a new flow may be placed here.
    #[must_use]
    pub const fn takes_new(self) -> bool {
        matches!(self, Self::Warming | Self::Serving)
    }
}

/// Stage before the backend server has announced itself.
#[derive(Debug, Clone)]
pub struct Announced;
/// Stage of a growing limit.
#[derive(Debug, Clone)]
pub struct Warming {
    since: Time,
}
/// Stage of full service.
#[derive(Debug, Clone)]
pub struct Serving;
/// Stage in which open flows finish.
#[derive(Debug, Clone)]
pub struct Leaving {
    since: Time,
}
/// Last stage.
#[derive(Debug, Clone)]
pub struct Gone;

/// A life in stage `S`.
#[derive(Debug, Clone)]
pub struct Life<S> {
    stage: S,
}

impl Life<Announced> {
    /// A life that has just begun.
    #[must_use]
    pub const fn begin() -> Self {
        Self { stage: Announced }
    }

    /// The backend server is there: start warming.
    #[must_use]
    pub const fn warm(self, now: Time) -> Life<Warming> {
        Life { stage: Warming { since: now } }
    }
}

impl Life<Warming> {
    /// Share of the full limit in percent, growing from 20 to 100 over [`WARM_UP_MS`].
    ///
    /// Guards against a cold start: a backend server that is handed its full share at once answers
    /// its first requests late or sheds them. A growing limit gives it time.
    #[must_use]
    pub fn percent(&self, now: Time) -> u64 {
        const FIRST_PERCENT: u64 = 20;
        let grown = (100 - FIRST_PERCENT) * now.since(self.stage.since) / WARM_UP_MS;
        (FIRST_PERCENT + grown).min(100)
    }

    /// Full service, once the warm-up has passed.
    ///
    /// # Errors
    /// Gives the life back while it is still warming.
    pub fn serve(self, now: Time) -> Result<Life<Serving>, Self> {
        if now.since(self.stage.since) < WARM_UP_MS {
            return Err(self);
        }
        Ok(Life { stage: Serving })
    }
}

impl<S> Life<S> {
    /// Take no new flow from now on.
    #[must_use]
    pub fn leave(self, now: Time) -> Life<Leaving> {
        Life { stage: Leaving { since: now } }
    }
}

impl Life<Leaving> {
    /// When leaving began.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.stage.since
    }

    /// The end, once nothing is open.
    ///
    /// Guards against a planned stop that cuts a request: with `open` flows left the life cannot
    /// end, so the process that asks cannot exit.
    ///
    /// # Errors
    /// Gives the life back while flows are open.
    pub fn finish(self, open: usize) -> Result<Life<Gone>, Self> {
        if open > 0 {
            return Err(self);
        }
        Ok(Life { stage: Gone })
    }
}

/// A life in any stage, for owners that hold it over time.
#[derive(Debug, Clone)]
pub enum Stage {
    /// See [`Announced`].
    Announced(Life<Announced>),
    /// See [`Warming`].
    Warming(Life<Warming>),
    /// See [`Serving`].
    Serving(Life<Serving>),
    /// See [`Leaving`].
    Leaving(Life<Leaving>),
    /// See [`Gone`].
    Gone(Life<Gone>),
}

impl Stage {
    /// The stage as peers see it.
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

    /// Moves on by itself: warming to serving, leaving to gone.
    #[must_use]
    pub fn advance(self, now: Time, open: usize) -> Self {
        match self {
            Self::Warming(life) => life.serve(now).map_or_else(Self::Warming, Self::Serving),
            Self::Leaving(life) => life.finish(open).map_or_else(Self::Leaving, Self::Gone),
            other => other,
        }
    }

    /// Begins warming when only announced; any other stage stays.
    #[must_use]
    pub fn warm(self, now: Time) -> Self {
        match self {
            Self::Announced(life) => Self::Warming(life.warm(now)),
            other => other,
        }
    }

    /// Begins leaving unless that has happened already.
    #[must_use]
    pub fn leave(self, now: Time) -> Self {
        match self {
            Self::Announced(life) => Self::Leaving(life.leave(now)),
            Self::Warming(life) => Self::Leaving(life.leave(now)),
            Self::Serving(life) => Self::Leaving(life.leave(now)),
            other => other,
        }
    }
}
