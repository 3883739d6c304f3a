//! Brings what the operator wrote from the store into force: the configuration, which other processes
//! hand over too, and orders of evacuation.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use log::{info, warn};
use nutmegkeel_core::l4::evacuation::{Feed, Orders};
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_core::l4::word::pause_after_change_ms;
use nutmegkeel_platform::configuration::{self, Entry};
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_store::kv::{Change, Fault, Image, Pair, Registry, Watched};

use super::membership::note_reachable;
use super::metered::{Metered, Purpose};
use crate::lock::lock;
use crate::web::Answer;

/// Path at which a balancer hands its configuration to others.
pub(super) const PATH: &str = "/configuration";

/// Longest wait of one watch. A connection that went silent is noticed this much and the client's
/// timeout later; meanwhile changes come from the other balancers that watch.
const WAIT: Duration = Duration::from_secs(8);

/// Pause before the next try when the store does not answer, the first time; it doubles from try to try.
const RETRY: Duration = Duration::from_millis(150);

/// Longest pause between two tries: a balancer that watches is back within this when the store is.
const LONGEST_RETRY: Duration = Duration::from_millis(600);

/// Pause between two looks whether this balancer is to watch.
const LOOK: Duration = Duration::from_millis(100);

/// Longest text of a configuration, in bytes: the store holds values of a megabyte, which fits 4,000 routes.
const LARGEST: u64 = 4 << 20;

/// A balancer answers within a few milliseconds; one that does not is asked again when it speaks.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The configuration as it was written, for balancers that ask.
#[derive(Clone, Debug, Default)]
pub(super) struct Source {
    newest: Arc<Mutex<Newest>>,
}

#[derive(Debug, Default)]
struct Newest {
    version: u64,
    text: Text,
}

/// The text of a configuration.
#[derive(Debug)]
enum Text {
    /// As the operator wrote it.
    Plain(Vec<u8>),
    /// Compressed, as balancers hand it to each other.
    Packed(Vec<u8>),
}

impl Default for Text {
    fn default() -> Self {
        Self::Plain(Vec::new())
    }
}

impl Source {
    /// The newest text, compressed. It is compressed when it is first asked for: most balancers have it
    /// from another one, and keep it as it came.
    ///
    /// Guards against a change that is in force seconds later on half of a failure domain: hosts have
    /// links of 10 Mbit/s, and a delegate hands the text to all others there one after the other.
    /// Measured with 245 routes: 3.4 KB packed.
    fn packed(&self) -> Vec<u8> {
        let mut newest = lock(&self.newest);
        if let Text::Plain(plain) = &newest.text {
            newest.text = Text::Packed(pack(plain));
        }
        match &newest.text {
            Text::Packed(packed) => packed.clone(),
            Text::Plain(_) => Vec::new(),
        }
    }

    /// What a process that asks for the newest text is told.
    pub(super) fn answer(&self) -> Answer {
        if lock(&self.newest).version == 0 {
            return Answer::new(404, "");
        }
        Answer::new(200, self.packed())
    }

    /// Takes in a text as the operator wrote it; returns its routes. One that cannot be read changes nothing.
    fn take(&self, bytes: &[u8]) -> Option<Table> {
        self.take_as(bytes, || Text::Plain(bytes.to_vec()))
    }

    /// The same for one that another balancer handed over.
    fn take_packed(&self, packed: Vec<u8>) -> Option<Table> {
        let plain = match unpack(&packed) {
            Ok(plain) => plain,
            Err(fault) => {
                warn!(event = "configuration_unreadable", fault:% = fault; "cannot be unpacked");
                return None;
            }
        };
        self.take_as(&plain, || Text::Packed(packed))
    }

    fn take_as(&self, plain: &[u8], text: impl FnOnce() -> Text) -> Option<Table> {
        let decoded = match configuration::decode(plain) {
            Ok(decoded) => decoded,
            Err(fault) => {
                warn!(event = "configuration_unreadable", fault:% = fault; "kept the one in force");
                return None;
            }
        };
        for fault in &decoded.faults {
            warn!(event = "route_left_out", fault:% = fault; "route not understood");
        }
        let mut newest = lock(&self.newest);
        if decoded.table.version > newest.version {
            *newest = Newest { version: decoded.table.version, text: text() };
        }
        Some(decoded.table)
    }
}

fn pack(plain: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    // Writing into memory has no way to fail; an empty text is refused by whoever fetches it.
    encoder.write_all(plain).and_then(|()| encoder.finish()).unwrap_or_else(|error| {
        warn!(event = "configuration_not_packed", fault:% = error; "cannot be handed over");
        Vec::new()
    })
}

fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    GzDecoder::new(packed).take(LARGEST).read_to_end(&mut plain)?;
    Ok(plain)
}

/// What a watch brings.
#[derive(Debug)]
pub(super) enum News {
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
pub(super) fn spawn_watch(
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

/// Fetches configurations from other balancers on request.
#[derive(Clone, Debug)]
pub(super) struct Fetcher {
    requests: SyncSender<Ipv4Addr>,
}

impl Fetcher {
    /// Starts the thread; `port` is where balancers answer.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub(super) fn spawn(
        port: u16,
        source: Source,
        configured: impl Fn(Table) + Send + 'static,
    ) -> io::Result<Self> {
        let (requests, wanted) = sync_channel(1);
        thread::Builder::new().name("fetch".to_owned()).spawn(move || {
            fetch_all(&wanted, port, &source, &configured);
        })?;
        Ok(Self { requests })
    }

    /// Asks for a fetch; one that is under way serves for this one too, since whoever has something
    /// newer says so again.
    pub(super) fn fetch(&self, from: Ipv4Addr) {
        let _ = self.requests.try_send(from);
    }
}

fn fetch_all(wanted: &Receiver<Ipv4Addr>, port: u16, source: &Source, configured: &impl Fn(Table)) {
    let config = ureq::Agent::config_builder().timeout_global(Some(PEER_TIMEOUT)).build();
    let http = ureq::Agent::new_with_config(config);
    while let Ok(from) = wanted.recv() {
        let url = format!("http://{}{PATH}", SocketAddrV4::new(from, port));
        let fetched = http.get(&url).call().and_then(|mut answer| answer.body_mut().read_to_vec());
        match fetched {
            Ok(packed) => {
                info!(event = "configuration_fetched", from:% = from, bytes = packed.len();
                    "from a balancer");
                source.take_packed(packed).into_iter().for_each(configured);
            }
            Err(error) => {
                info!(event = "fetch_failed", from:% = from, fault:% = error;
                    "balancer did not hand its configuration over");
            }
        }
    }
}
