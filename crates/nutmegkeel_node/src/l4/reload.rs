//! Detects changes of the settings file, with or without a signal.

use std::path::PathBuf;

use log::{info, warn};
use nutmegkeel_core::clock::Time;
use nutmegkeel_platform::settings::{self, Settings};

/// Interval between two checks of the file, in milliseconds: it may change without a signal.
const CHECK_INTERVAL_MS: u64 = 2_000;

/// The settings in force, and the file that they were read from.
#[derive(Debug)]
pub(super) struct Reload {
    path: PathBuf,
    in_force: Settings,
    refused: Option<String>,
    checked_at: Time,
}

impl Reload {
    /// Starts to watch the file of these settings.
    pub(super) const fn open(path: PathBuf, in_force: Settings, now: Time) -> Self {
        Self { path, in_force, refused: None, checked_at: now }
    }

    /// Reads the file if a signal asked for it or the interval has passed. Returns settings that
    /// differ from those in force. A file with faults changes nothing and is logged once.
    pub(super) fn check(&mut self, now: Time, signalled: bool) -> Option<Settings> {
        if !signalled && now.since(self.checked_at) < CHECK_INTERVAL_MS {
            return None;
        }
        self.checked_at = now;
        match settings::open(&self.path) {
            Ok(read) => self.apply(read),
            Err(fault) => {
                self.refuse(fault.to_string());
                None
            }
        }
    }

    fn apply(&mut self, read: Settings) -> Option<Settings> {
        self.refused = None;
        if read == self.in_force {
            return None;
        }
        let rebinds = Settings { seeds: read.seeds.clone(), ..self.in_force.clone() } != read;
        info!(event = "reloaded", restart_needed = rebinds; "settings file changed");
        self.in_force = read.clone();
        Some(read)
    }

    fn refuse(&mut self, fault: String) {
        if self.refused.as_ref() != Some(&fault) {
            warn!(event = "reload_refused", fault = fault.as_str();
                "settings file rejected, the settings in force stay");
            self.refused = Some(fault);
        }
    }
}
