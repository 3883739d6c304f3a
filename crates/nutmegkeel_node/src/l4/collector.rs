//! Writes the lists of flows that agents sent to this balancer.

use std::io;
use std::net::Ipv4Addr;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use nutmegkeel_core::l4::checkpoint::Checkpoint;
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::LatestEra;
use nutmegkeel_store::batch::{self, Entry};
use nutmegkeel_wire::checkpoint as wire;

use super::checkpoint;
use super::metered::{Metered, Purpose};
use super::reachability::Reachability;
use crate::clock::Clock;

/// Agents with their lists.
pub(super) type Batch = Vec<(Ipv4Addr, Checkpoint)>;

/// Passes batches to the thread that writes them, without blocking.
#[derive(Clone, Debug)]
pub(super) struct Writer(SyncSender<Batch>);

impl Writer {
    /// Queues a batch to be written. Returns false if another one is waiting already.
    pub(super) fn write(&self, batch: Batch) -> bool {
        self.0.try_send(batch).is_ok()
    }
}

/// Returns a writer and the receiver that [`spawn`] reads its batches from.
pub(super) fn channel() -> (Writer, Receiver<Batch>) {
    let (sender, receiver) = sync_channel(1);
    (Writer(sender), receiver)
}

/// Starts the thread that writes batches and passes the numbers of the lists that were stored to
/// `committed`.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn(
    settings: &Settings,
    latest_era: &LatestEra,
    clock: Clock,
    batches: Receiver<Batch>,
    committed: impl Fn(Vec<(Ipv4Addr, u64)>) + Send + 'static,
) -> io::Result<()> {
    let store = Metered::open(settings, latest_era, Purpose::Flows);
    let prefix = checkpoint::prefix(settings);
    thread::Builder::new().name("collector".to_owned()).spawn(move || {
        let mut reachability = Reachability::open(Purpose::Flows);
        let mut writer =
            batch::Writer::open(prefix.clone(), |bytes| Some(wire::decode(bytes)?.number));
        while let Ok(batch) = batches.recv() {
            let entries: Vec<Entry> = batch.iter().map(|one| entry(&prefix, one)).collect();
            let outcome = writer.write(&store, clock.now(), &entries);
            let written = outcome.iter().flatten();
            let numbers =
                written.filter_map(|(key, number)| Some((agent_of(&prefix, key)?, *number)));
            committed(numbers.collect());
            reachability.record(outcome.map(|_| ()));
            store.record_skipped();
        }
    })?;
    Ok(())
}

/// Returns the agent that a key belongs to.
fn agent_of(prefix: &str, key: &str) -> Option<Ipv4Addr> {
    key.strip_prefix(prefix)?.parse().ok()
}

fn entry(prefix: &str, (agent, list): &(Ipv4Addr, Checkpoint)) -> Entry {
    Entry { key: format!("{prefix}{agent}"), number: list.number, value: wire::encode(list) }
}
