//! Brings what the operator wrote from the store into force: the configuration, which other processes
//! hand over too, and orders of evacuation.

mod fetcher;
mod source;
mod watch;

pub use fetcher::Fetcher;
pub use source::Source;
pub(super) use watch::{News, Watch, Watcher, spawn_watch};

/// Path at which a process hands its configuration to others.
pub const PATH: &str = "/configuration";
