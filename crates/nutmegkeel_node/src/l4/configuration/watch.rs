//! Watches what the operator writes to the store.

use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::{info, warn};
use metrics::gauge;
use nutmegkeel_core::l4::evacuation::{self, Follower, Orders, REWRITE_MS};
use nutmegkeel_core::l4::peer_state::pause_after_change_ms;
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_core::l4::watch::Timeouts;
use nutmegkeel_core::revision::{Era, Revision};
use nutmegkeel_platform::configuration::{self, Entry};
use nutmegkeel_store::kv::{Change, Fault, Pair, Registry, Snapshot, Unusable, Watched};

use super::Source;
use crate::clock::Clock;
use crate::l4::metered::{Metered, Purpose};
use crate::l4::reachability::Reachability;
use crate::metric;

/// Pause before the first retry when the store does not answer. It doubles with each further retry.
const RETRY_MIN: Duration = Duration::from_millis(150);

/// Longest pause between two retries: a balancer resumes its watch within this time after the store
/// has returned.
const RETRY_MAX: Duration = Duration::from_millis(600);

/// Pause between the first read and the first watch. After it a balancer knows which processes it
/// receives messages from, and so whether it is to watch, also on a small host while all processes
/// start at once. Until then changes come from other processes.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(1);

/// Interval between two checks whether this balancer is to watch.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A change that a watch reports.
#[derive(Debug)]
pub(in crate::l4) enum Update {
    /// All orders of evacuation in force.
    Orders(Orders),
    /// A configuration.
    Configuration(Table),
}

/// Store call that returned a configuration.
#[derive(Clone, Copy, Debug)]
enum StoreCall {
    List,
    Watch,
}

impl StoreCall {
    const fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
        }
    }
}

/// A delegate's rank and the orders that it knows.
pub(in crate::l4) struct Delegate {
    /// Its rank among the delegates of the failure domain.
    pub(in crate::l4) rank: usize,
    /// The orders of evacuation that it has received.
    pub(in crate::l4) orders: Option<Orders>,
}

/// Starts the thread that watches the store while `delegate` returns a delegate, passes every
/// update to `apply`, and reports to `answered` whether the store answers.
///
/// # Errors
/// When the thread cannot be started.
pub(in crate::l4) fn spawn_watch(
    mut watch: Watch,
    delegate: impl Fn() -> Option<Delegate> + Send + 'static,
    answered: impl Fn(bool) + Send + 'static,
    apply: impl Fn(Update) + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new().name("configuration".to_owned()).spawn(move || {
        let mut reachability = Reachability::open(Purpose::Configuration);
        let mut retry = RETRY_MIN;
        loop {
            let Some(delegate) = delegate() else {
                thread::sleep(CHECK_INTERVAL);
                continue;
            };
            watch.apply_orders(delegate.orders.as_ref());
            let is_first = !watch.has_read;
            let began = Instant::now();
            let outcome = watch.next();
            let lasted_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
            let outcome = outcome.map(|updates| updates.into_iter().map(&apply).count());
            let pause = match outcome {
                Ok(_) if is_first => FIRST_WATCH_DELAY,
                Ok(0) if watch.after.is_some() => Duration::ZERO,
                Ok(_) if watch.after.is_some() => {
                    Duration::from_millis(pause_after_change_ms(delegate.rank, lasted_ms))
                }
                _ => retry,
            };
            retry = if outcome.is_ok() { RETRY_MIN } else { RETRY_MAX.min(retry * 2) };
            answered(outcome.is_ok());
            reachability.record(outcome.map(|_| ()));
            watch.store.record_skipped();
            thread::sleep(pause);
        }
    })?;
    Ok(())
}

/// Watches the configuration and all orders of the operator.
pub(in crate::l4) struct Watch {
    store: Metered,
    source: Source,
    clock: Clock,
    timeouts: Timeouts,
    /// Whether the store has been read since the start.
    has_read: bool,
    /// Revision after which the watch continues; none before the first read, and after the history
    /// was lost.
    after: Option<Revision>,
    follower: Follower,
}

impl Watch {
    /// Creates a watch that has read nothing yet.
    pub(in crate::l4) fn open(
        store: Metered,
        source: Source,
        clock: Clock,
        timeouts: Timeouts,
    ) -> Self {
        Self {
            store,
            source,
            clock,
            timeouts,
            has_read: false,
            after: None,
            follower: Follower::default(),
        }
    }

    /// Applies orders that this process received from others.
    fn apply_orders(&mut self, orders: Option<&Orders>) {
        if let Some(orders) = orders {
            self.follower.apply_remote(self.clock.now(), orders);
        }
    }

    /// Returns the timeouts of a watch. While orders of an earlier era are retained the wait is
    /// short, so that what the operator has written again is read soon.
    fn timeouts(&self) -> Timeouts {
        if self.follower.retains_earlier_era() {
            self.timeouts.with_wait_at_most(Duration::from_millis(REWRITE_MS))
        } else {
            self.timeouts
        }
    }

    /// Returns the next updates. Orders come before a configuration, so that a process that has a
    /// configuration knows the orders as well.
    fn next(&mut self) -> Result<Vec<Update>, Fault> {
        if self.follower.needs_read(self.clock.now()) {
            self.after = None;
        }
        let Some(after) = self.after else {
            return match self.read_snapshot() {
                Ok(snapshot) => Ok(self.apply_snapshot(snapshot)),
                Err(Fault::Unusable(reason)) => self.read_orders(&reason),
                Err(fault) => Err(fault),
            };
        };
        match self.store.watch(configuration::PREFIX, after, self.timeouts()) {
            Ok(Watched::Until(until, changes)) => {
                self.after = Some(until);
                Ok(self.apply_changes(until, changes))
            }
            Ok(Watched::Compacted) => {
                self.after = None;
                self.next()
            }
            // The same watch would return the same changes and more.
            Err(Fault::Unusable(reason)) => {
                log_unusable(StoreCall::Watch, &reason);
                self.after = None;
                self.next()
            }
            Err(fault) => {
                // The store may take too long over a long answer, and the next one would be longer.
                if matches!(fault, Fault::Lost(_)) {
                    self.after = None;
                }
                Err(fault)
            }
        }
    }

    /// Reads all that the operator wrote. At the start a state that is some seconds old is
    /// sufficient: every balancer reads it then, and newer changes come with the watch or from
    /// other processes.
    fn read_snapshot(&mut self) -> Result<Snapshot, Fault> {
        if self.has_read {
            return self.store.snapshot(configuration::PREFIX);
        }
        let snapshot = self.store.snapshot_recent(configuration::PREFIX)?;
        self.has_read = true;
        Ok(snapshot)
    }

    /// Reads only the orders of evacuation, because the list of everything is of no use for this
    /// reason. The configuration comes with the next change, or from another process.
    ///
    /// Guards against an order that is not followed because a configuration is in its way. If the
    /// list was cut by the time limit it is read again, since the link may be less busy then.
    fn read_orders(&mut self, reason: &Unusable) -> Result<Vec<Update>, Fault> {
        log_unusable(StoreCall::List, reason);
        let snapshot = self.store.snapshot(configuration::EVACUATION_PREFIX)?;
        self.has_read = true;
        let updates = self.apply_snapshot(snapshot);
        if matches!(reason, Unusable::Cut(_)) {
            self.after = None;
        }
        Ok(updates)
    }

    /// Applies a complete list of what the operator wrote.
    fn apply_snapshot(&mut self, snapshot: Snapshot) -> Vec<Update> {
        // While there is no configuration yet, a watch waits for it: each repeated read would cost
        // a call. An old list may come without a revision to continue from.
        self.after = (snapshot.as_of.number > 0).then_some(snapshot.as_of);
        let mut domains = BTreeSet::new();
        let mut tables = Vec::new();
        for pair in snapshot.pairs {
            match entry(&pair.key) {
                Some(Entry::Evacuation(domain)) => {
                    domains.insert(domain);
                }
                Some(Entry::Configuration) => {
                    tables.extend(self.apply_configuration(&pair, StoreCall::List))
                }
                None => {}
            }
        }
        self.record_era(snapshot.as_of.era);
        self.follower.apply_snapshot(self.clock.now(), snapshot.as_of, domains);
        self.updates(true, tables)
    }

    /// Records the store's era, and logs if the store came back from an older copy.
    #[expect(clippy::cast_precision_loss, reason = "a gauge is read by eye")]
    fn record_era(&self, era: Era) {
        gauge!(metric::STORE_ERA).set(era.0 as f64);
        let is_first = self.follower.orders().revision == Revision::ZERO;
        if !is_first && era > self.follower.era() {
            warn!(event = "store_returned", era = era.0;
                "store came back from an older copy, reading and writing everything again");
        }
    }

    /// Applies the changes of one answer, which is complete up to the revision `until`.
    fn apply_changes(&mut self, until: Revision, changes: Vec<Change>) -> Vec<Update> {
        let mut orders = Vec::new();
        let mut tables = Vec::new();
        for change in changes {
            let (key, revision, pair) = match change {
                Change::Written(pair) => (pair.key.clone(), pair.revision, Some(pair)),
                Change::Deleted { key, revision } => (key, revision, None),
            };
            match (entry(&key), pair) {
                (Some(Entry::Evacuation(domain)), pair) => {
                    let evacuated = pair.is_some();
                    orders.push(evacuation::Change { domain, evacuated, revision });
                }
                (Some(Entry::Configuration), Some(pair)) => {
                    tables.extend(self.apply_configuration(&pair, StoreCall::Watch));
                }
                // The operator never deletes the configuration; the one in force stays.
                (Some(Entry::Configuration) | None, _) => {}
            }
        }
        let is_ordered = !orders.is_empty();
        self.follower.apply_changes(until, orders);
        self.updates(is_ordered, tables)
    }

    fn updates(&self, ordered: bool, tables: Vec<Table>) -> Vec<Update> {
        let orders = ordered.then(|| Update::Orders(self.follower.orders().clone()));
        orders.into_iter().chain(tables.into_iter().map(Update::Configuration)).collect()
    }

    fn apply_configuration(&self, pair: &Pair, call: StoreCall) -> Option<Table> {
        let table = self.source.apply(&pair.value)?;
        info!(event = "configuration_read", configuration = table.version,
            revision:% = pair.revision, call = call.name(); "configuration read from the store");
        Some(table)
    }
}

fn log_unusable(call: StoreCall, reason: &Unusable) {
    warn!(event = "answer_unusable", call = call.name(), reason = reason.name(),
        fault:% = reason; "answer of the store cannot be used, reading less");
}

/// Returns what a key holds, if it is needed and understood.
fn entry(key: &str) -> Option<Entry> {
    configuration::decode_key(key).unwrap_or_else(|fault| {
        warn!(event = "order_unreadable", fault:% = fault;
            "invalid order of evacuation left out, the others stay in force");
        None
    })
}
