//! Keeps an agent's list of open flows in the store, and reads the one its predecessor left there.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use metrics::counter;
use nutmegkeel_core::l4::checkpoint::Checkpoint;
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::Client;
use nutmegkeel_store::document::Document;
use nutmegkeel_store::kv::Fault;
use nutmegkeel_wire::checkpoint as wire;

use super::membership::note_reachable;
use crate::clock::Clock;
use crate::metric;

/// Lists that may wait for a store that does not answer; a newer one makes an older one needless.
const QUEUE: usize = 2;

/// Pause between two tries while the store does not answer. The list helps clients for a few seconds
/// only, so the first read must not lag.
const RETRY: Duration = Duration::from_millis(300);

/// Pause between two looks at the lease while nothing is written.
const LOOK: Duration = Duration::from_secs(10);

/// Hands lists to the thread that writes them, without waiting.
#[derive(Clone, Debug)]
pub(super) struct Writer(SyncSender<Checkpoint>);

impl Writer {
    /// Writes a list soon. One that finds no room is counted; the next replaces it.
    pub(super) fn write(&self, checkpoint: Checkpoint) {
        if self.0.try_send(checkpoint).is_err() {
            counter!(metric::DROPPED, "reason" => "checkpoint").increment(1);
        }
    }
}

/// A writer, and the end from which [`spawn`] takes its lists.
pub(super) fn channel() -> (Writer, Receiver<Checkpoint>) {
    let (sender, receiver) = sync_channel(QUEUE);
    (Writer(sender), receiver)
}

/// Reads the predecessor's list, hands it to `recovered`, and writes lists from then on.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn(
    settings: &Settings,
    clock: Clock,
    lists: Receiver<Checkpoint>,
    recovered: impl FnOnce(Option<Checkpoint>) + Send + 'static,
) -> io::Result<()> {
    let store = Client::open(settings.store);
    let key = format!("nutmegkeel/flows/{}/{}", settings.region, settings.ip);
    thread::Builder::new().name("checkpoint".to_owned()).spawn(move || {
        let mut reachable = true;
        let mut document = Document::open(key);
        recovered(read(&mut document, &store, &mut reachable));
        let mut pending = None;
        loop {
            let pause = if pending.is_some() { RETRY } else { LOOK };
            match lists.recv_timeout(pause) {
                Ok(newer) => pending = Some(newer),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let outcome = match &pending {
                Some(list) => document.write(&store, clock.now(), &wire::encode(list)),
                None => document.keep(&store, clock.now()),
            };
            if outcome.is_ok() {
                pending = None;
            }
            note_reachable(&mut reachable, outcome);
        }
    })?;
    Ok(())
}

/// Tries until the store answers.
fn read(document: &mut Document, store: &Client, reachable: &mut bool) -> Option<Checkpoint> {
    loop {
        match document.read(store) {
            Ok(value) => {
                note_reachable(reachable, Ok(()));
                return value.and_then(|bytes| decode(&bytes));
            }
            Err(fault) => {
                note_reachable(reachable, Err::<(), Fault>(fault));
                thread::sleep(RETRY);
            }
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Checkpoint> {
    let list = wire::decode(bytes);
    match &list {
        Some(list) => {
            info!(event = "flows_read", server = &*list.server.id, flows = list.flows.len();
                "read the flows that were open before this process started");
        }
        None => {
            warn!(event = "flows_not_understood", bytes = bytes.len();
                "the list of flows is of another version, going on without it");
        }
    }
    list
}
