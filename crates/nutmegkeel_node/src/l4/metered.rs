//! A client of the store that counts its calls: they are charged for, including those that fail.

use metrics::counter;
use nutmegkeel_core::l4::watch::Timeouts;
use nutmegkeel_core::revision::{Era, Revision};
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::{Client, LatestEra};
use nutmegkeel_store::kv::{
    Committed, Fault, Lease, Pair, Registry, Renewal, Snapshot, Store, Watched, Write,
};

use crate::metric;

/// Purpose of calls.
#[derive(Clone, Copy, Debug)]
pub(super) enum Purpose {
    /// Finding other processes, and being found.
    Membership,
    /// Reading the configuration.
    Configuration,
    /// Reading and writing lists of open flows.
    Flows,
}

impl Purpose {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Configuration => "configuration",
            Self::Flows => "flows",
        }
    }
}

/// A client whose calls are counted under one purpose.
#[derive(Debug)]
pub(super) struct Metered {
    purpose: Purpose,
    client: Client,
}

impl Metered {
    /// Creates a client of the store that the settings name. All clients of a process share the
    /// newest era that they received.
    pub(super) fn open(settings: &Settings, latest_era: &LatestEra, purpose: Purpose) -> Self {
        Self {
            purpose,
            client: Client::open(settings.store, latest_era.clone(), settings.transfer),
        }
    }

    /// Counts entries that could not be read, and logs the reasons.
    pub(super) fn record_skipped(&self) {
        for reason in self.client.take_skipped() {
            counter!(metric::ENTRIES_SKIPPED).increment(1);
            log::info!(event = "entry_skipped", reason = &*reason;
                "entry of the store skipped, it cannot be read");
        }
    }

    fn count<T>(&self, call: &'static str, outcome: Result<T, Fault>) -> Result<T, Fault> {
        let result = match &outcome {
            Ok(_) => "answered",
            Err(Fault::NotSent(_)) => "refused",
            Err(Fault::Lost(_)) => "lost",
            Err(Fault::Unusable(reason)) => reason.name(),
        };
        let purpose = self.purpose.name();
        counter!(metric::STORE_CALLS, "purpose" => purpose, "call" => call, "result" => result)
            .increment(1);
        outcome
    }
}

impl Store for Metered {
    fn get(&self, key: &str) -> Result<Option<Pair>, Fault> {
        self.count("get", self.client.get(key))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Pair>, Fault> {
        self.count("list", self.client.list(prefix))
    }

    fn commit(&self, writes: &[Write]) -> Result<Committed, Fault> {
        self.count("commit", self.client.commit(writes))
    }

    fn grant(&self, seconds: u64) -> Result<Lease, Fault> {
        self.count("grant", self.client.grant(seconds))
    }
}

impl Registry for Metered {
    fn list_recent(&self, prefix: &str) -> Result<Vec<Pair>, Fault> {
        self.count("list_recent", self.client.list_recent(prefix))
    }

    fn snapshot_recent(&self, prefix: &str) -> Result<Snapshot, Fault> {
        self.count("list_recent", self.client.snapshot_recent(prefix))
    }

    fn snapshot(&self, prefix: &str) -> Result<Snapshot, Fault> {
        self.count("list", self.client.snapshot(prefix))
    }

    fn era(&self) -> Era {
        self.client.era()
    }

    fn renew(&self, lease: Lease) -> Result<Renewal, Fault> {
        self.count("keep", self.client.renew(lease))
    }

    fn watch(&self, prefix: &str, after: Revision, timeouts: Timeouts) -> Result<Watched, Fault> {
        self.count("watch", self.client.watch(prefix, after, timeouts))
    }
}
