//! Current load of a soak run, shared by its clients.

use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};

/// Stored instead of a port while there is no burst.
const NO_BURST: u16 = 0;

/// Load settings that clients read before each round.
#[derive(Debug, Default)]
pub(super) struct Load {
    varies: bool,
    over: AtomicBool,
    heavy_caller: AtomicBool,
    burst: AtomicU16,
}

impl Load {
    pub(super) fn open(varies: bool) -> Self {
        Self { varies, ..Self::default() }
    }

    /// Returns whether the run has load faults; clients then have a deadline and close their flows.
    pub(super) const fn is_varied(&self) -> bool {
        self.varies
    }

    /// Returns whether clients must stop.
    pub(super) fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub(super) fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Returns whether the heavy caller is active.
    pub(super) fn has_heavy_caller(&self) -> bool {
        self.heavy_caller.load(Ordering::Relaxed)
    }

    pub(super) fn set_heavy_caller(&self, heavy_caller: bool) {
        self.heavy_caller.store(heavy_caller, Ordering::Relaxed);
    }

    /// Returns the port that all clients request as fast as they can, if there is a burst.
    pub(super) fn burst(&self) -> Option<u16> {
        Some(self.burst.load(Ordering::Relaxed)).filter(|port| *port != NO_BURST)
    }

    pub(super) fn set_burst(&self, port: Option<u16>) {
        self.burst.store(port.unwrap_or(NO_BURST), Ordering::Relaxed);
    }
}
