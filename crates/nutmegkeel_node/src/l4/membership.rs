//! Maintains a process's entry in the store, and reads the list of balancers there.

use std::collections::BTreeSet;
use std::io;
use std::net::Ipv4Addr;
use std::thread;
use std::time::Duration;

use metrics::gauge;
use nutmegkeel_core::clock::Time;
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::LatestEra;
use nutmegkeel_store::kv::{Fault, Pair, Registry, Store};
use nutmegkeel_store::registration::Registration;

use super::metered::{Metered, Purpose};
use super::reachability::Reachability;
use crate::clock::Clock;
use crate::metric;

/// Interval between two checks of what is due, and between two tries while the store does not
/// answer. An entry that expired is back within two seconds after the store has returned.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between two reads of the list by a process that has an entry there, in milliseconds. By
/// reading, it finds out whether the store removed its entry.
const READ_INTERVAL_REGISTERED_MS: u64 = 5_000;

/// The same for a process without an entry that receives messages from others, in milliseconds. The
/// list only helps processes that missed messages: an agent that knows too few balancers learns of
/// the others within this time.
const READ_INTERVAL_MS: u64 = 30_000;

/// The same for a process that receives no messages from others, in milliseconds.
const READ_INTERVAL_ISOLATED_MS: u64 = 1_000;

/// Maximum number of balancers that an entry names: some tens of kilobytes.
const MAX_NAMED: usize = 4_096;

/// Returns the prefix of the keys under which the balancers of a region have their entries.
fn prefix(settings: &Settings) -> String {
    format!("nutmegkeel/balancers/{}/", settings.region)
}

/// Returns the registration of this process among the balancers.
fn registration(settings: &Settings) -> Registration {
    Registration::open(format!("{}{}", prefix(settings), settings.ip), Vec::new())
}

/// Encodes the value of an entry: the balancers that its owner knows in its failure domain. Guards
/// against processes that find each other late when all start at once and those with entries are
/// the last to start.
fn encode(balancers: &[Ipv4Addr]) -> Vec<u8> {
    let names: Vec<String> = balancers.iter().take(MAX_NAMED).map(ToString::to_string).collect();
    names.join(" ").into_bytes()
}

/// Returns the balancers that an entry names. Words that are no addresses are skipped, since
/// another program may have written them.
fn decode(value: &[u8]) -> impl Iterator<Item = Ipv4Addr> {
    let words = value.split(u8::is_ascii_whitespace).take(MAX_NAMED);
    words.filter_map(|word| std::str::from_utf8(word).ok()?.parse().ok())
}

/// Callbacks that supply the state on which the calls depend, and receive their results.
pub(super) struct Hooks {
    /// Returns whether the process receives messages from others.
    pub(super) receives_gossip: Box<dyn Fn() -> bool + Send>,
    /// Returns the balancers that its entry is to name, or `None` if it is to have no entry.
    pub(super) entry: Box<dyn Fn() -> Option<Vec<Ipv4Addr>> + Send>,
    /// Called with whether the store answered.
    pub(super) store_answered: Box<dyn Fn(bool) + Send>,
    /// Called with each list that was read.
    pub(super) listed: Box<dyn Fn(Vec<Ipv4Addr>) + Send>,
}

/// Starts the thread that maintains the process's entry, if it is to have one, and reads the list.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn(
    settings: &Settings,
    latest_era: &LatestEra,
    clock: Clock,
    hooks: Hooks,
) -> io::Result<()> {
    let mut member = Member {
        store: Metered::open(settings, latest_era, Purpose::Membership),
        prefix: prefix(settings),
        registration: registration(settings),
        hooks,
        read_at: None,
    };
    thread::Builder::new().name("membership".to_owned()).spawn(move || {
        let mut reachability = Reachability::open(Purpose::Membership);
        let mut answered_at = clock.now();
        let first = member.read_if_due(answered_at);
        (member.hooks.store_answered)(first.is_ok());
        reachability.record(first);
        // By the next check it knows whether it receives messages from others, and so whether it is
        // to have an entry.
        thread::sleep(CHECK_INTERVAL);
        loop {
            let now = clock.now();
            let outcome = member.step(now);
            (member.hooks.store_answered)(outcome.is_ok());
            if outcome.is_ok() {
                answered_at = clock.now();
            }
            #[expect(clippy::cast_precision_loss, reason = "a gauge is read by eye")]
            gauge!(metric::STORE_ANSWER_AGE).set(clock.now().since(answered_at) as f64);
            reachability.record(outcome);
            member.store.record_skipped();
            thread::sleep(CHECK_INTERVAL);
        }
    })?;
    Ok(())
}

/// State of the membership thread.
struct Member {
    store: Metered,
    prefix: String,
    registration: Registration,
    hooks: Hooks,
    /// Time of the last read of the list.
    read_at: Option<Time>,
}

impl Member {
    fn step(&mut self, now: Time) -> Result<(), Fault> {
        if let Some(balancers) = (self.hooks.entry)() {
            self.registration.set_value(now, encode(&balancers));
            self.registration.step(&self.store, now)?;
        }
        self.read_if_due(now)
    }

    fn read_if_due(&mut self, now: Time) -> Result<(), Fault> {
        let receives_gossip = (self.hooks.receives_gossip)();
        let has_entry = (self.hooks.entry)().is_some();
        let pause_ms = match (receives_gossip, has_entry) {
            (false, _) => READ_INTERVAL_ISOLATED_MS,
            (true, true) => READ_INTERVAL_REGISTERED_MS,
            (true, false) => READ_INTERVAL_MS,
        };
        if self.read_at.is_some_and(|at| now.since(at) < pause_ms) {
            return Ok(());
        }
        let is_isolated = self.read_at.is_some() && !receives_gossip;
        self.read_at = Some(now);
        let pairs = read(&self.store, &self.prefix, is_isolated)?;
        self.registration.check_list(now, &pairs);
        (self.hooks.listed)(addresses(&pairs, &self.prefix));
        Ok(())
    }
}

/// Reads the list. A process that receives no messages from others needs the current one, since
/// others may have started at the same time. For all others a list that is some seconds old is
/// sufficient, and costs a tenth.
fn read(store: &Metered, prefix: &str, is_isolated: bool) -> Result<Vec<Pair>, Fault> {
    if is_isolated { store.list(prefix) } else { store.list_recent(prefix) }
}

/// Returns the balancers that have entries, and those that the entries name.
fn addresses(pairs: &[Pair], prefix: &str) -> Vec<Ipv4Addr> {
    let owner = |pair: &Pair| pair.key.strip_prefix(prefix)?.parse().ok();
    let owners = pairs.iter().filter_map(owner);
    let named = pairs.iter().flat_map(|pair| decode(&pair.value));
    owners.chain(named).collect::<BTreeSet<Ipv4Addr>>().into_iter().collect()
}
