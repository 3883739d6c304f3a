//! Keeps a process's entry in the store, and reads the list of balancers there.

use std::io;
use std::net::Ipv4Addr;
use std::thread;
use std::time::Duration;

use log::info;
use metrics::{counter, gauge};
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::Client;
use nutmegkeel_store::kv::{Fault, Registry};
use nutmegkeel_store::registration::Registration;

use crate::clock::Clock;
use crate::metric;

/// Pause between two looks at what is due, and between two tries while the store does not answer:
/// an entry that lapsed is back within two seconds of its return.
const LOOK: Duration = Duration::from_millis(1_000);

/// Pause between two reads of the list, in milliseconds. The list only helps those who missed the
/// messages between processes.
const READ_MS: u64 = 5_000;

/// Where the balancers of a region have their entries.
fn prefix(settings: &Settings) -> String {
    format!("nutmegkeel/balancers/{}/", settings.region)
}

/// The entry of this process among the balancers.
pub(super) fn registration(settings: &Settings) -> Registration {
    let key = format!("{}{}", prefix(settings), settings.ip);
    Registration::open(key, settings.domain.as_bytes().to_vec())
}

/// Keeps the entry, if there is one, and hands every list that was read to `listed`.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn(
    settings: &Settings,
    clock: Clock,
    mut registration: Option<Registration>,
    listed: impl Fn(Vec<Ipv4Addr>) + Send + 'static,
) -> io::Result<()> {
    let store = Client::open(settings.store);
    let prefix = prefix(settings);
    thread::Builder::new().name("membership".to_owned()).spawn(move || {
        let mut reachable = true;
        let mut read_at = None;
        let mut answered = clock.now();
        loop {
            let now = clock.now();
            let mut outcome = registration.as_mut().map_or(Ok(()), |entry| entry.step(&store, now));
            let due = read_at.is_none_or(|at| now.since(at) >= READ_MS);
            if outcome.is_ok() && due {
                outcome = read(&store, &prefix, read_at.is_none()).map(|pairs| {
                    read_at = Some(now);
                    if let Some(entry) = registration.as_mut() {
                        entry.listed(now, &pairs);
                    }
                    listed(addresses(&pairs, &prefix));
                });
            }
            if outcome.is_ok() {
                answered = clock.now();
            }
            #[expect(clippy::cast_precision_loss, reason = "a gauge is read by eye")]
            gauge!(metric::STORE_AGE).set(clock.now().since(answered) as f64);
            note_reachable(&mut reachable, outcome);
            note_skipped(&store);
            thread::sleep(LOOK);
        }
    })?;
    Ok(())
}

/// The first list must be of now: balancers and agents start together.
fn read(
    store: &Client,
    prefix: &str,
    first: bool,
) -> Result<Vec<nutmegkeel_store::kv::Pair>, Fault> {
    use nutmegkeel_store::kv::Store;
    if first { store.list(prefix) } else { store.list_recent(prefix) }
}

fn addresses(pairs: &[nutmegkeel_store::kv::Pair], prefix: &str) -> Vec<Ipv4Addr> {
    let names = pairs.iter().filter_map(|pair| pair.key.strip_prefix(prefix));
    names.filter_map(|name| name.parse().ok()).collect()
}

/// Counts entries of the store that could not be read, and says why.
pub(super) fn note_skipped(store: &Client) {
    for reason in store.take_skipped() {
        counter!(metric::ENTRIES_SKIPPED).increment(1);
        info!(event = "entry_skipped", reason = &*reason; "an entry of the store cannot be read");
    }
}

/// Counts a failure, and writes a line when the store is lost or regained.
pub(super) fn note_reachable(reachable: &mut bool, outcome: Result<(), Fault>) {
    let reached = outcome.is_ok();
    if let Err(fault) = outcome {
        counter!(metric::PLATFORM_FAILURES).increment(1);
        if *reachable {
            info!(event = "store_lost", fault:% = fault; "store does not answer");
        }
    } else if !*reachable {
        info!(event = "store_regained"; "store answers again");
    }
    *reachable = reached;
}
