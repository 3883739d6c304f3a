//! Brings the operator's configuration from the store, or from another balancer, into force.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_platform::configuration;
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_store::kv::{Fault, Pair, Registry, Watched};

use super::membership::note_reachable;
use super::metered::{Metered, Purpose};
use crate::lock::lock;

/// Path at which a balancer hands its configuration to others.
pub(super) const PATH: &str = "/configuration";

/// Longest wait of one watch. A connection that went silent is noticed this much and the client's
/// timeout later; meanwhile changes come from the other balancers that watch.
const WAIT: Duration = Duration::from_secs(8);

/// Pause between two watches after a change. Each call is priced: in a burst of a change every 60 ms
/// this makes 4 calls a second of 16, and a change is in force 0.4 s later at most.
const COALESCE: Duration = Duration::from_millis(400);

/// Pause before the next try when the store does not answer, the first time; it doubles from try to try.
const RETRY: Duration = Duration::from_millis(150);

/// Longest pause between two tries: a balancer that watches is back within this when the store is.
const LONGEST_RETRY: Duration = Duration::from_millis(600);

/// Pause between two looks whether this balancer is to watch.
const LOOK: Duration = Duration::from_millis(100);

/// A balancer answers within a few milliseconds; one that does not is asked again when it speaks.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The configuration as it was written, for balancers that ask.
#[derive(Clone, Debug, Default)]
pub(super) struct Source {
    text: Arc<Mutex<(u64, Arc<str>)>>,
}

impl Source {
    /// The newest text.
    pub(super) fn text(&self) -> Arc<str> {
        Arc::clone(&lock(&self.text).1)
    }

    /// Takes in a text; returns its routes. One that cannot be read changes nothing.
    fn take(&self, bytes: &[u8]) -> Option<Table> {
        let decoded = match configuration::decode(bytes) {
            Ok(decoded) => decoded,
            Err(fault) => {
                warn!(event = "configuration_unreadable", fault:% = fault; "kept the one in force");
                return None;
            }
        };
        for fault in &decoded.faults {
            warn!(event = "route_left_out", fault:% = fault; "route not understood");
        }
        let mut text = lock(&self.text);
        if decoded.table.version > text.0 {
            *text = (decoded.table.version, String::from_utf8_lossy(bytes).into());
        }
        Some(decoded.table)
    }
}

/// Watches the store while `watches` says so, hands every configuration to `configured`, and tells
/// `answered` whether the store answers.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn_watch(
    settings: &Settings,
    source: Source,
    watches: impl Fn() -> bool + Send + 'static,
    answered: impl Fn(bool) + Send + 'static,
    configured: impl Fn(Table) + Send + 'static,
) -> io::Result<()> {
    let store = Metered::open(settings, Purpose::Configuration);
    thread::Builder::new().name("configuration".to_owned()).spawn(move || {
        let mut reachable = true;
        let mut after = None;
        let mut retry = RETRY;
        loop {
            if !watches() {
                thread::sleep(LOOK);
                continue;
            }
            let outcome = next(&store, after).map(|(until, pairs)| {
                after = until;
                let tables = pairs.iter().filter(|pair| pair.key == configuration::KEY);
                tables.filter_map(|pair| source.take(&pair.value)).map(&configured).count()
            });
            let pause = match outcome {
                Ok(0) if after.is_some() => Duration::ZERO,
                Ok(_) if after.is_some() => COALESCE,
                _ => retry,
            };
            retry = if outcome.is_ok() { RETRY } else { LONGEST_RETRY.min(retry * 2) };
            answered(outcome.is_ok());
            note_reachable(&mut reachable, outcome.map(|_| ()));
            store.note_skipped();
            thread::sleep(pause);
        }
    })?;
    Ok(())
}

/// What comes behind revision `after`, and the revision to go on from.
fn next(store: &Metered, after: Option<u64>) -> Result<(Option<u64>, Vec<Pair>), Fault> {
    let Some(after) = after else {
        let snapshot = store.snapshot(configuration::KEY)?;
        // While there is none yet, a watch waits for it: to ask again and again costs a call each time.
        let is_known = snapshot.pair.is_some() || snapshot.as_of > 0;
        let until = is_known.then_some(snapshot.as_of);
        return Ok((until, snapshot.pair.into_iter().collect()));
    };
    match store.watch(configuration::KEY, after, WAIT)? {
        Watched::Until(until, pairs) => Ok((Some(until), pairs)),
        Watched::Forgotten => next(store, None),
    }
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
            Ok(bytes) => {
                info!(event = "configuration_fetched", from:% = from; "from a balancer");
                source.take(&bytes).into_iter().for_each(configured);
            }
            Err(error) => {
                info!(event = "fetch_failed", from:% = from, fault:% = error;
                    "balancer did not hand its configuration over");
            }
        }
    }
}
