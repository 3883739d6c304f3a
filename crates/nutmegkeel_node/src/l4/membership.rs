//! Keeps a process's entry in the store, and reads the list of balancers there.

use std::io;
use std::net::Ipv4Addr;
use std::thread;
use std::time::Duration;

use log::info;
use metrics::{counter, gauge};
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_store::kv::{Fault, Pair, Registry, Store};
use nutmegkeel_store::registration::Registration;

use super::metered::{Metered, Purpose};
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

/// Where the balancers of a region have their entries.
fn prefix(settings: &Settings) -> String {
    format!("nutmegkeel/balancers/{}/", settings.region)
}

/// The entry of this process among the balancers.
pub(super) fn registration(settings: &Settings) -> Registration {
    let key = format!("{}{}", prefix(settings), settings.ip);
    Registration::open(key, settings.domain.as_bytes().to_vec())
}

/// Keeps the entry, if there is one, and hands every list that was read to `listed`. `hears` tells whether
/// the process hears of others by messages, `answered` takes in whether the store answers.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn(
    settings: &Settings,
    clock: Clock,
    mut registration: Option<Registration>,
    hears: impl Fn() -> bool + Send + 'static,
    answered: impl Fn(bool) + Send + 'static,
    listed: impl Fn(Vec<Ipv4Addr>) + Send + 'static,
) -> io::Result<()> {
    let store = Metered::open(settings, Purpose::Membership);
    let prefix = prefix(settings);
    thread::Builder::new().name("membership".to_owned()).spawn(move || {
        let mut reachable = true;
        let mut tried = None;
        let mut answered_at = clock.now();
        loop {
            let now = clock.now();
            let mut outcome = registration.as_mut().map_or(Ok(()), |entry| entry.step(&store, now));
            let pause_ms = match &registration {
                _ if !hears() => ALONE_MS,
                Some(_) => READ_OWN_MS,
                None => READ_MS,
            };
            let due = tried.is_none_or(|at| now.since(at) >= pause_ms);
            if outcome.is_ok() && due {
                let is_alone = tried.is_some() && !hears();
                tried = Some(now);
                outcome = read(&store, &prefix, is_alone).map(|pairs| {
                    if let Some(entry) = registration.as_mut() {
                        entry.listed(now, &pairs);
                    }
                    listed(addresses(&pairs, &prefix));
                });
            }
            answered(outcome.is_ok());
            if outcome.is_ok() {
                answered_at = clock.now();
            }
            #[expect(clippy::cast_precision_loss, reason = "a gauge is read by eye")]
            gauge!(metric::STORE_AGE).set(clock.now().since(answered_at) as f64);
            note_reachable(&mut reachable, outcome);
            store.note_skipped();
            thread::sleep(LOOK);
        }
    })?;
    Ok(())
}

/// A process that still hears of nobody needs the list of now: others may have started with it. Usually
/// one that is some seconds old does, and costs a tenth.
fn read(store: &Metered, prefix: &str, is_alone: bool) -> Result<Vec<Pair>, Fault> {
    if is_alone { store.list(prefix) } else { store.list_recent(prefix) }
}

fn addresses(pairs: &[Pair], prefix: &str) -> Vec<Ipv4Addr> {
    let names = pairs.iter().filter_map(|pair| pair.key.strip_prefix(prefix));
    names.filter_map(|name| name.parse().ok()).collect()
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
