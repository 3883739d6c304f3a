//! Watches what the operator writes into the store.

use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use log::warn;
use nutmegkeel_core::l4::evacuation::{Feed, Orders};
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_core::l4::word::pause_after_change_ms;
use nutmegkeel_platform::configuration::{self, Entry};
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_store::kv::{Change, Fault, Image, Pair, Registry, Watched};

use super::Source;
use crate::l4::membership::note_reachable;
use crate::l4::metered::{Metered, Purpose};

/// Longest wait of one watch. A connection that went silent is noticed this much and the client's
/// timeout later; meanwhile changes come from the other balancers that watch.
const WAIT: Duration = Duration::from_secs(8);

/// Pause before the next try when the store does not answer, the first time; it doubles from try to try.
const RETRY: Duration = Duration::from_millis(150);

/// Longest pause between two tries: a balancer that watches is back within this when the store is.
const LONGEST_RETRY: Duration = Duration::from_millis(600);

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

/// Watches the store while `rank` names a place among the delegates of the failure domain, hands all news
/// to `take`, and tells `answered` whether the store answers.
///
/// # Errors
/// When the thread cannot be started.
pub(in crate::l4) fn spawn_watch(
    settings: &Settings,
    source: Source,
    rank: impl Fn() -> Option<usize> + Send + 'static,
    answered: impl Fn(bool) + Send + 'static,
    take: impl Fn(News) + Send + 'static,
) -> io::Result<()> {
    let store = Metered::open(settings, Purpose::Configuration);
    thread::Builder::new().name("configuration".to_owned()).spawn(move || {
        let mut reachable = true;
        let mut watch = Watch { store, source, after: None, feed: Feed::default() };
        let mut retry = RETRY;
        loop {
            let Some(rank) = rank() else {
                thread::sleep(LOOK);
                continue;
            };
            let began = Instant::now();
            let outcome = watch.next();
            let lasted_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
            let outcome = outcome.map(|news| news.into_iter().map(&take).count());
            let pause = match outcome {
                Ok(0) if watch.after.is_some() => Duration::ZERO,
                Ok(_) if watch.after.is_some() => {
                    Duration::from_millis(pause_after_change_ms(rank, lasted_ms))
                }
                _ => retry,
            };
            retry = if outcome.is_ok() { RETRY } else { LONGEST_RETRY.min(retry * 2) };
            answered(outcome.is_ok());
            note_reachable(&mut reachable, outcome.map(|_| ()));
            watch.store.note_skipped();
            thread::sleep(pause);
        }
    })?;
    Ok(())
}

/// A watch of all that the operator writes.
struct Watch {
    store: Metered,
    source: Source,
    /// Revision to go on from; none before the first read, and after the history was lost.
    after: Option<u64>,
    feed: Feed,
}

impl Watch {
    /// What is new. Orders come before a configuration, so that a process which has one knows of them.
    fn next(&mut self) -> Result<Vec<News>, Fault> {
        let Some(after) = self.after else {
            let image = self.store.image(configuration::PREFIX)?;
            return Ok(self.read(image));
        };
        match self.store.watch(configuration::PREFIX, after, WAIT)? {
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

    /// Takes in all that there is.
    fn read(&mut self, image: Image) -> Vec<News> {
        // While there is no configuration yet a watch waits for it: to ask again and again costs a call
        // each time.
        let is_known = !image.pairs.is_empty() || image.as_of > 0;
        self.after = is_known.then_some(image.as_of);
        let mut domains = BTreeSet::new();
        let mut tables = Vec::new();
        for pair in image.pairs {
            match entry(&pair.key) {
                Some(Entry::Evacuation(domain)) => {
                    domains.insert(domain);
                }
                Some(Entry::Configuration) => tables.extend(self.table(&pair)),
                None => {}
            }
        }
        self.feed.read(image.as_of, domains);
        self.news(true, tables)
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
                    self.feed.change(revision, domain, pair.is_some());
                    ordered = true;
                }
                (Some(Entry::Configuration), Some(pair)) => tables.extend(self.table(&pair)),
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

    fn table(&self, pair: &Pair) -> Option<Table> {
        self.source.take(&pair.value)
    }
}

/// What a key of the operator's holds, if it is needed and understood.
fn entry(key: &str) -> Option<Entry> {
    configuration::entry(key).unwrap_or_else(|fault| {
        warn!(event = "order_unreadable", fault:% = fault; "order left out, the others hold");
        None
    })
}
