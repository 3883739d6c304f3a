//! Watches what the operator writes into the store.

use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::{info, warn};
use metrics::gauge;
use nutmegkeel_core::l4::evacuation::{Follower, Orders, REWRITE_MS};
use nutmegkeel_core::l4::peer_state::pause_after_change_ms;
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_core::l4::watch::Timeouts;
use nutmegkeel_core::revision::{Era, Revision};
use nutmegkeel_platform::configuration::{self, Entry};
use nutmegkeel_store::kv::{Change, Fault, Image, Pair, Registry, Watched};

use super::Source;
use crate::clock::Clock;
use crate::l4::metered::{Metered, Purpose};
use crate::l4::reachability::Reachability;
use crate::metric;

/// Pause before the next try when the store does not answer, the first time; it doubles from try to try.
const RETRY: Duration = Duration::from_millis(150);

/// Longest pause between two tries: a balancer that watches is back within this when the store is.
const LONGEST_RETRY: Duration = Duration::from_millis(600);

/// Pause between the first read and the first watch: by then a balancer knows whom it hears of, and so whether it
/// is to watch, also on a small host while the whole fleet starts. Until then changes come from others.
const SETTLE: Duration = Duration::from_secs(1);

/// Pause between two looks whether this balancer is to watch.
const LOOK: Duration = Duration::from_millis(100);

/// What a watch brings.
#[derive(Debug)]
pub(in crate::l4) enum News {
    /// Orders of evacuation, all that are in force.
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

/// A delegate, and what it knows.
pub(in crate::l4) struct Watcher {
    /// Its place among the delegates of the failure domain.
    pub(in crate::l4) rank: usize,
    /// The orders of evacuation that it has heard of.
    pub(in crate::l4) orders: Option<Orders>,
}

/// Watches the store while `watcher` says that this process is a delegate, hands all news to `take`, and tells
/// `answered` whether the store answers.
///
/// # Errors
/// When the thread cannot be started.
pub(in crate::l4) fn spawn_watch(
    mut watch: Watch,
    watcher: impl Fn() -> Option<Watcher> + Send + 'static,
    answered: impl Fn(bool) + Send + 'static,
    take: impl Fn(News) + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new().name("configuration".to_owned()).spawn(move || {
        let mut reachability = Reachability::open(Purpose::Configuration);
        let mut retry = RETRY;
        loop {
            let Some(watcher) = watcher() else {
                thread::sleep(LOOK);
                continue;
            };
            watch.hear(watcher.orders.as_ref());
            let is_first = !watch.has_read;
            let began = Instant::now();
            let outcome = watch.next();
            let lasted_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
            let outcome = outcome.map(|news| news.into_iter().map(&take).count());
            let pause = match outcome {
                Ok(_) if is_first => SETTLE,
                Ok(0) if watch.after.is_some() => Duration::ZERO,
                Ok(_) if watch.after.is_some() => {
                    Duration::from_millis(pause_after_change_ms(watcher.rank, lasted_ms))
                }
                _ => retry,
            };
            retry = if outcome.is_ok() { RETRY } else { LONGEST_RETRY.min(retry * 2) };
            answered(outcome.is_ok());
            reachability.note(outcome.map(|_| ()));
            watch.store.note_skipped();
            thread::sleep(pause);
        }
    })?;
    Ok(())
}

/// A watch of all that the operator writes.
pub(in crate::l4) struct Watch {
    store: Metered,
    source: Source,
    clock: Clock,
    timeouts: Timeouts,
    /// Whether the store has been read since the start.
    has_read: bool,
    /// Revision to go on from; none before the first read, and after the history was lost.
    after: Option<Revision>,
    feed: Follower,
}

impl Watch {
    /// A watch that has read nothing yet.
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
            feed: Follower::default(),
        }
    }

    /// Takes in orders that this process heard of from others.
    fn hear(&mut self, orders: Option<&Orders>) {
        if let Some(orders) = orders {
            self.feed.apply_remote(self.clock.now(), orders);
        }
    }

    /// How long to wait for a change. While orders of an earlier era are held, what the operator has written again
    /// is read soon.
    fn timeouts(&self) -> Timeouts {
        if self.feed.retains_earlier_era() {
            self.timeouts.with_wait_at_most(Duration::from_millis(REWRITE_MS))
        } else {
            self.timeouts
        }
    }

    /// What is new. Orders come before a configuration, so that a process which has one knows of them.
    fn next(&mut self) -> Result<Vec<News>, Fault> {
        if self.feed.needs_read(self.clock.now()) {
            self.after = None;
        }
        let Some(after) = self.after else {
            let image = self.image()?;
            return Ok(self.read(image));
        };
        match self.store.watch(configuration::PREFIX, after, self.timeouts())? {
            Watched::Until(until, changes) => {
                self.after = Some(until);
                Ok(self.follow(changes))
            }
            Watched::Forgotten => {
                self.after = None;
                self.next()
            }
        }
    }

    /// All that there is. At the start what the store held some seconds ago will do: every balancer reads it
    /// then, and what is newer comes with the watch, or from others.
    fn image(&mut self) -> Result<Image, Fault> {
        if self.has_read {
            return self.store.image(configuration::PREFIX);
        }
        let image = self.store.image_recent(configuration::PREFIX)?;
        self.has_read = true;
        Ok(image)
    }

    /// Takes in all that there is.
    fn read(&mut self, image: Image) -> Vec<News> {
        // While there is no configuration yet a watch waits for it: to ask again and again costs a call
        // each time. An old list may come without a revision to go on from.
        self.after = (image.as_of.number > 0).then_some(image.as_of);
        let mut domains = BTreeSet::new();
        let mut tables = Vec::new();
        for pair in image.pairs {
            match entry(&pair.key) {
                Some(Entry::Evacuation(domain)) => {
                    domains.insert(domain);
                }
                Some(Entry::Configuration) => tables.extend(self.table(&pair, StoreCall::List)),
                None => {}
            }
        }
        self.note_era(image.as_of.era);
        self.feed.apply_snapshot(self.clock.now(), image.as_of, domains);
        self.news(true, tables)
    }

    /// Notes that the store came back from an older copy, if it did.
    #[expect(clippy::cast_precision_loss, reason = "a gauge is read by eye")]
    fn note_era(&self, era: Era) {
        gauge!(metric::STORE_ERA).set(era.0 as f64);
        let is_first = self.feed.orders().revision == Revision::ZERO;
        if !is_first && era > self.feed.era() {
            warn!(event = "store_returned", era = era.0;
                "the store came back from an older copy, everything is read and written again");
        }
    }

    /// Takes in what has changed.
    fn follow(&mut self, changes: Vec<Change>) -> Vec<News> {
        let mut ordered = false;
        let mut tables = Vec::new();
        for change in changes {
            let (key, revision, pair) = match change {
                Change::Written(pair) => (pair.key.clone(), pair.revision, Some(pair)),
                Change::Deleted { key, revision } => (key, revision, None),
            };
            match (entry(&key), pair) {
                (Some(Entry::Evacuation(domain)), pair) => {
                    self.feed.apply_change(revision, domain, pair.is_some());
                    ordered = true;
                }
                (Some(Entry::Configuration), Some(pair)) => {
                    tables.extend(self.table(&pair, StoreCall::Watch));
                }
                // The operator never takes the configuration away; the one in force stays.
                (Some(Entry::Configuration) | None, _) => {}
            }
        }
        self.news(ordered, tables)
    }

    fn news(&self, ordered: bool, tables: Vec<Table>) -> Vec<News> {
        let orders = ordered.then(|| News::Orders(self.feed.orders().clone()));
        orders.into_iter().chain(tables.into_iter().map(News::Configuration)).collect()
    }

    fn table(&self, pair: &Pair, call: StoreCall) -> Option<Table> {
        let table = self.source.take(&pair.value)?;
        info!(event = "configuration_read", configuration = table.version, revision:% = pair.revision,
            call = call.name(); "configuration read from the store");
        Some(table)
    }
}

/// What a key of the operator's holds, if it is needed and understood.
fn entry(key: &str) -> Option<Entry> {
    configuration::decode_key(key).unwrap_or_else(|fault| {
        warn!(event = "order_unreadable", fault:% = fault; "order left out, the others hold");
        None
    })
}
