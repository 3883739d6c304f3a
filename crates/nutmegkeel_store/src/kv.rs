//! Interface of the key-value store that the system needs.

use nutmegkeel_core::l4::watch::Timeouts;
use nutmegkeel_core::revision::{Era, Revision};
use nutmegkeel_core::verdict::Verdict;

/// A key, its value and the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: Revision,
}

/// Identifier of a lease. Keys written under a lease are deleted when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lease(pub i64);

/// Condition on a key under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No condition: any value is replaced.
    Anything,
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    At(Revision),
}

impl Expected {
    /// Returns the number of the revision that the key must have, zero if it must not exist, or
    /// `None` without a condition.
    #[must_use]
    pub const fn number(self) -> Option<u64> {
        match self {
            Self::Anything => None,
            Self::Absent => Some(0),
            Self::At(revision) => Some(revision.number),
        }
    }

    /// Returns whether the expected revision is of another era than the present one. Its number may
    /// then match by chance although the value differs.
    #[must_use]
    pub fn is_outdated(self, present: Era) -> bool {
        matches!(self, Self::At(revision) if revision.era != present)
    }

    /// Returns the condition that a key is unchanged since it was seen at this revision, or not at
    /// all.
    #[must_use]
    pub fn unchanged(revision: Option<Revision>) -> Self {
        revision.map_or(Self::Absent, Self::At)
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Vec<u8>,
    /// Condition on the key.
    pub expected: Expected,
    /// Lease under which the key is written.
    pub lease: Option<Lease>,
}

/// Result of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Committed {
    /// All writes took effect at this revision.
    Written(Revision),
    /// At least one key was not as expected; nothing was written.
    Differs,
}

/// Reason why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The call did not reach the platform.
    #[error("platform not reached: {0}")]
    NotSent(String),
    /// The call was sent, but no answer arrived.
    #[error("platform did not answer: {0}")]
    Lost(String),
    /// An answer arrived that cannot be used.
    #[error(transparent)]
    Unusable(#[from] Unusable),
}

/// Reason why an answer cannot be used. The same call may fail in the same way again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    /// It is longer than this number of bytes.
    #[error("answer is longer than {0} bytes")]
    TooLarge(u64),
    /// It had not arrived completely within the time limit.
    #[error("answer incomplete at the time limit: {0}")]
    Cut(String),
    /// It cannot be decoded.
    #[error("answer cannot be decoded: {0}")]
    Invalid(String),
}

impl Unusable {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::TooLarge(_) => "too_large",
            Self::Cut(_) => "cut",
            Self::Invalid(_) => "invalid",
        }
    }
}

impl Fault {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) => Verdict::NotRun,
            Self::Lost(_) | Self::Unusable(_) => Verdict::MayHaveRun,
        }
    }
}

/// A key-value store with compare-and-swap and leases.
pub trait Store: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    /// If the platform does not answer.
    fn get(&self, key: &str) -> Result<Option<Pair>, Fault>;

    /// Reads all keys with this prefix, ordered by key.
    ///
    /// # Errors
    /// If the platform does not answer.
    fn list(&self, prefix: &str) -> Result<Vec<Pair>, Fault>;

    /// Commits all writes in one transaction.
    ///
    /// # Errors
    /// If the platform does not answer. The verdict of the fault states whether the writes may have
    /// taken effect.
    fn commit(&self, writes: &[Write]) -> Result<Committed, Fault>;

    /// Grants a lease that ends after `seconds` unless it is renewed.
    ///
    /// # Errors
    /// If the platform does not answer.
    fn grant(&self, seconds: u64) -> Result<Lease, Fault>;
}

/// Result of the renewal of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease was renewed.
    Renewed,
    /// The lease has ended, and its keys are deleted.
    Ended,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// All changes up to this revision; none if the watch timed out first.
    Until(Revision, Vec<Change>),
    /// The service no longer has the changes after the given revision, so the keys must be read
    /// again.
    Compacted,
}

/// One change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Pair),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the change.
        revision: Revision,
    },
}

/// The keys with a prefix, and a revision of the whole service whose changes they include.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The keys.
    pub pairs: Vec<Pair>,
    /// The revision. A watch that starts after it misses no change.
    pub as_of: Revision,
}

/// A store in which processes register and which reports changes.
pub trait Registry: Store {
    /// Like [`Store::list`], but cheaper; the answer may be some seconds old.
    ///
    /// # Errors
    /// If the service does not answer.
    fn list_recent(&self, prefix: &str) -> Result<Vec<Pair>, Fault>;

    /// Like [`Registry::snapshot`], but cheaper; the answer may be some seconds old.
    ///
    /// # Errors
    /// If the service does not answer.
    fn snapshot_recent(&self, prefix: &str) -> Result<Snapshot, Fault>;

    /// Reads all keys with this prefix and the revision after which a watch can start.
    ///
    /// A watch cannot start at the highest revision of the keys themselves, because the service may
    /// have dropped the history after it.
    ///
    /// # Errors
    /// If the service does not answer.
    fn snapshot(&self, prefix: &str) -> Result<Snapshot, Fault>;

    /// Returns the era of the service according to its latest answers. Keys that were written under
    /// a lease of an earlier era may be gone.
    fn era(&self) -> Era;

    /// Renews a lease.
    ///
    /// # Errors
    /// If the service does not answer.
    fn renew(&self, lease: Lease) -> Result<Renewal, Fault>;

    /// Waits for a change after revision `after` to a key with this prefix, within `timeouts`.
    ///
    /// # Errors
    /// If the service does not answer.
    fn watch(&self, prefix: &str, after: Revision, timeouts: Timeouts) -> Result<Watched, Fault>;
}

/// Replaces the value of a key and returns the revision of the write.
///
/// The write keeps its condition. If that does not hold, it is repeated once under the condition
/// that the key is unchanged since a new read. A write without a condition could take effect late
/// and replace a newer one.
///
/// # Errors
/// If the service does not answer, or if another process changes the key at the same time.
pub fn overwrite(store: &dyn Store, mut write: Write) -> Result<Revision, Fault> {
    if let Committed::Written(revision) = store.commit(std::slice::from_ref(&write))? {
        return Ok(revision);
    }
    write.expected = Expected::unchanged(store.get(&write.key)?.map(|pair| pair.revision));
    match store.commit(std::slice::from_ref(&write))? {
        Committed::Written(revision) => Ok(revision),
        Committed::Differs => {
            Err(Fault::NotSent(format!("`{}` was changed by another process", write.key)))
        }
    }
}
