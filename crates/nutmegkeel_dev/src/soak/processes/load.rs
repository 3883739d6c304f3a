//! How much the callers of a run ask for at the moment.

use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};

/// A burst that is over.
const NONE: u16 = 0;

/// What callers look at before each round.
#[derive(Debug, Default)]
pub(super) struct Load {
    varies: bool,
    over: AtomicBool,
    heavy: AtomicBool,
    burst: AtomicU16,
}

impl Load {
    pub(super) fn open(varies: bool) -> Self {
        Self { varies, ..Self::default() }
    }

    /// Whether load is one of the run's faults: then callers have a deadline and close their flows.
    pub(super) const fn is_varied(&self) -> bool {
        self.varies
    }

    /// Whether callers are to end.
    pub(super) fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub(super) fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Whether the heavy caller is at work.
    pub(super) fn is_heavy(&self) -> bool {
        self.heavy.load(Ordering::Relaxed)
    }

    pub(super) fn set_heavy(&self, heavy: bool) {
        self.heavy.store(heavy, Ordering::Relaxed);
    }

    /// The port of the one class of requests that all callers ask for, as fast as they can.
    pub(super) fn burst(&self) -> Option<u16> {
        Some(self.burst.load(Ordering::Relaxed)).filter(|port| *port != NONE)
    }

    pub(super) fn set_burst(&self, port: Option<u16>) {
        self.burst.store(port.unwrap_or(NONE), Ordering::Relaxed);
    }
}
