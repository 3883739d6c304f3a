//! Applies what the operator wrote to the store: the configuration, which other processes serve as
//! well, and orders of evacuation.

mod fetcher;
mod source;
mod watch;

pub use fetcher::Fetcher;
pub use source::Source;
pub(super) use watch::{Delegate, Update, Watch, spawn_watch};

/// Path at which a process serves its configuration to others.
pub const PATH: &str = "/configuration";
