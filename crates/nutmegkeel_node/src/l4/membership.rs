//! Keeps a process's entry in the store, and reads the list of balancers there.

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

/// Pause between two looks at what is due, and between two tries while the store does not answer:
/// an entry that lapsed is back within two seconds of its return.
const LOOK: Duration = Duration::from_millis(1_000);

/// Pause between two reads of the list by a process that has an entry there, in milliseconds: it finds out
/// whether the store took its entry away.
const READ_OWN_MS: u64 = 5_000;

/// The same for one that has none and hears of others. The list only helps those who missed the messages
/// between processes: an agent that knows too few balancers learns of the others within this.
const READ_MS: u64 = 30_000;

/// The same while it hears of nobody, in milliseconds.
const ALONE_MS: u64 = 1_000;

/// Balancers that an entry names at most: some tens of kilobytes.
const NAMED: usize = 4_096;

/// Where the balancers of a region have their entries.
fn prefix(settings: &Settings) -> String {
    format!("nutmegkeel/balancers/{}/", settings.region)
}

/// The entry of this process among the balancers.
fn registration(settings: &Settings) -> Registration {
    Registration::open(format!("{}{}", prefix(settings), settings.ip), Vec::new())
}

/// What an entry says: the balancers that its owner knows in its failure domain. Guards against processes that find
/// each other late when all start at once, and those that have entries are the last.
fn encode(balancers: &[Ipv4Addr]) -> Vec<u8> {
    let names: Vec<String> = balancers.iter().take(NAMED).map(ToString::to_string).collect();
    names.join(" ").into_bytes()
}

/// The balancers that an entry names; words of another writer that are no addresses are left out.
fn decode(value: &[u8]) -> impl Iterator<Item = Ipv4Addr> {
    let words = value.split(u8::is_ascii_whitespace).take(NAMED);
    words.filter_map(|word| std::str::from_utf8(word).ok()?.parse().ok())
}

/// What a process knows that decides on its calls, and what it learns from them.
pub(super) struct Hooks {
    /// Whether the process hears of others by messages.
    pub(super) hears: Box<dyn Fn() -> bool + Send>,
    /// The balancers that its entry is to name; none while it is to have no entry.
    pub(super) entry: Box<dyn Fn() -> Option<Vec<Ipv4Addr>> + Send>,
    /// Takes in whether the store answered.
    pub(super) answered: Box<dyn Fn(bool) + Send>,
    /// Takes in each list that was read.
    pub(super) listed: Box<dyn Fn(Vec<Ipv4Addr>) + Send>,
}

/// Keeps the process's entry while it is to have one, and reads the list.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn(
    settings: &Settings,
    newest: &LatestEra,
    clock: Clock,
    hooks: Hooks,
) -> io::Result<()> {
    let mut member = Member {
        store: Metered::open(settings, newest, Purpose::Membership),
        prefix: prefix(settings),
        registration: registration(settings),
        hooks,
        read_at: None,
    };
    thread::Builder::new().name("membership".to_owned()).spawn(move || {
        let mut reachability = Reachability::open(Purpose::Membership);
        let mut answered_at = clock.now();
        let first = member.read_if_due(answered_at);
        (member.hooks.answered)(first.is_ok());
        reachability.note(first);
        // By the next look it knows whom it hears of, and so whether it is to have an entry.
        thread::sleep(LOOK);
        loop {
            let now = clock.now();
            let outcome = member.step(now);
            (member.hooks.answered)(outcome.is_ok());
            if outcome.is_ok() {
                answered_at = clock.now();
            }
            #[expect(clippy::cast_precision_loss, reason = "a gauge is read by eye")]
            gauge!(metric::STORE_AGE).set(clock.now().since(answered_at) as f64);
            reachability.note(outcome);
            member.store.note_skipped();
            thread::sleep(LOOK);
        }
    })?;
    Ok(())
}

/// What the thread works with.
struct Member {
    store: Metered,
    prefix: String,
    registration: Registration,
    hooks: Hooks,
    /// When the list was read last.
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
        let hears = (self.hooks.hears)();
        let has_entry = (self.hooks.entry)().is_some();
        let pause_ms = match (hears, has_entry) {
            (false, _) => ALONE_MS,
            (true, true) => READ_OWN_MS,
            (true, false) => READ_MS,
        };
        if self.read_at.is_some_and(|at| now.since(at) < pause_ms) {
            return Ok(());
        }
        let is_alone = self.read_at.is_some() && !hears;
        self.read_at = Some(now);
        let pairs = read(&self.store, &self.prefix, is_alone)?;
        self.registration.listed(now, &pairs);
        (self.hooks.listed)(addresses(&pairs, &self.prefix));
        Ok(())
    }
}

/// A process that still hears of nobody needs the list of now: others may have started with it. Usually
/// one that is some seconds old does, and costs a tenth.
fn read(store: &Metered, prefix: &str, is_alone: bool) -> Result<Vec<Pair>, Fault> {
    if is_alone { store.list(prefix) } else { store.list_recent(prefix) }
}

/// The balancers that have entries, and those that these name.
fn addresses(pairs: &[Pair], prefix: &str) -> Vec<Ipv4Addr> {
    let owner = |pair: &Pair| pair.key.strip_prefix(prefix)?.parse().ok();
    let owners = pairs.iter().filter_map(owner);
    let named = pairs.iter().flat_map(|pair| decode(&pair.value));
    owners.chain(named).collect::<BTreeSet<Ipv4Addr>>().into_iter().collect()
}
