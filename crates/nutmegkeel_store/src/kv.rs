//! What the system needs of a key-value service.

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

/// Number of a lease; keys written under it vanish when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lease(pub i64);

/// What must hold of a key for a write to happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Nothing: whatever is there is replaced.
    Anything,
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    At(Revision),
}

impl Expected {
    /// The count of the revision at which a key must be, zero if it must not exist; none if any will do.
    #[must_use]
    pub const fn number(self) -> Option<u64> {
        match self {
            Self::Anything => None,
            Self::Absent => Some(0),
            Self::At(revision) => Some(revision.number),
        }
    }

    /// Whether this was seen in another era than the present one, and may hold by chance for another content.
    #[must_use]
    pub fn is_outdated(self, present: Era) -> bool {
        matches!(self, Self::At(revision) if revision.era != present)
    }

    /// That a key is as it was last seen, at a revision or not there at all.
    #[must_use]
    pub fn unchanged(revision: Option<Revision>) -> Self {
        revision.map_or(Self::Absent, Self::At)
    }
}

/// One write inside a transaction: happens only if the key is as expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Vec<u8>,
    /// What must hold of the key.
    pub expected: Expected,
    /// Lease that the key is written under.
    pub lease: Option<Lease>,
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Committed {
    /// All writes took effect at this revision.
    Written(Revision),
    /// At least one key was not as expected; nothing was written.
    Differs,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The call did not reach the platform.
    #[error("platform not reached: {0}")]
    NotSent(String),
    /// The call was sent and no usable answer came.
    #[error("platform did not answer: {0}")]
    Lost(String),
}

impl Fault {
    /// Whether the call may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) => Verdict::NotRun,
            Self::Lost(_) => Verdict::MayHaveRun,
        }
    }
}

/// A key-value service with compare-and-swap and leases.
pub trait Store: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn get(&self, key: &str) -> Result<Option<Pair>, Fault>;

    /// Reads all keys that begin with `prefix`, by key.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn list(&self, prefix: &str) -> Result<Vec<Pair>, Fault>;

    /// Writes all or nothing.
    ///
    /// # Errors
    /// When the platform does not answer; the fault's verdict says whether it may have written.
    fn commit(&self, writes: &[Write]) -> Result<Committed, Fault>;

    /// Grants a lease that ends after `seconds`.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn grant(&self, seconds: u64) -> Result<Lease, Fault>;
}

/// How the renewal of a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// The lease runs anew.
    Renewed,
    /// The lease has ended, and its keys are gone.
    Ended,
}

/// What a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// What changed up to this revision; nothing if the wait passed first.
    Until(Revision, Vec<Change>),
    /// The service no longer knows what came behind the given revision; read anew.
    Forgotten,
}

/// One change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Pair),
    /// A key was taken away.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the change.
        revision: Revision,
    },
}

/// The keys that begin with a prefix, and the revision of the whole service that they are no older than.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Image {
    /// The keys.
    pub pairs: Vec<Pair>,
    /// The revision; a watch behind it misses nothing.
    pub as_of: Revision,
}

/// A service in which processes register, and which tells of changes.
pub trait Registry: Store {
    /// Like [`Store::list`], but the answer may be seconds old and costs little.
    ///
    /// # Errors
    /// When the service does not answer.
    fn list_recent(&self, prefix: &str) -> Result<Vec<Pair>, Fault>;

    /// Like [`Registry::image`], but the answer may be seconds old and costs little.
    ///
    /// # Errors
    /// When the service does not answer.
    fn image_recent(&self, prefix: &str) -> Result<Image, Fault>;

    /// Reads all keys that begin with `prefix`, with the revision from which a watch goes on. The keys'
    /// own revisions will not do: the service may have dropped the history behind them.
    ///
    /// # Errors
    /// When the service does not answer.
    fn image(&self, prefix: &str) -> Result<Image, Fault>;

    /// The era of the service, as far as its answers have told. What was written under a lease of an earlier one
    /// may be gone.
    fn era(&self) -> Era;

    /// Renews a lease.
    ///
    /// # Errors
    /// When the service does not answer.
    fn keep(&self, lease: Lease) -> Result<Kept, Fault>;

    /// Waits for a change behind revision `after` of a key with this prefix, within `timeouts`.
    ///
    /// # Errors
    /// When the service does not answer.
    fn watch(&self, prefix: &str, after: Revision, timeouts: Timeouts) -> Result<Watched, Fault>;
}

/// Writes over whatever is there, but not over what somebody writes meanwhile: a write that is carried out
/// late must not replace a newer one. Returns the revision of the write.
///
/// # Errors
/// When the service does not answer, or somebody else goes on writing the key.
pub fn overwrite(store: &dyn Store, mut write: Write) -> Result<Revision, Fault> {
    if let Committed::Written(revision) = store.commit(std::slice::from_ref(&write))? {
        return Ok(revision);
    }
    write.expected = Expected::unchanged(store.get(&write.key)?.map(|pair| pair.revision));
    match store.commit(std::slice::from_ref(&write))? {
        Committed::Written(revision) => Ok(revision),
        Committed::Differs => Err(Fault::NotSent(format!("`{}` is written by another", write.key))),
    }
}
