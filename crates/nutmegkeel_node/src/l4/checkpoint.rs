//! Keeps an agent's list of open flows in the store, and reads the one its predecessor left there.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use metrics::counter;
use nutmegkeel_core::l4::checkpoint::Checkpoint;
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::LatestEra;
use nutmegkeel_store::document::Document;
use nutmegkeel_wire::checkpoint as wire;

use super::metered::{Metered, Purpose};
use super::reachability::Reachability;
use crate::clock::Clock;
use crate::metric;

/// Lists that may wait for a store that does not answer; a newer one makes an older one needless.
const QUEUE: usize = 2;

/// Pause between two looks whether the store answers again. The list helps clients for a few seconds only,
/// so the first read must not lag.
const RETRY: Duration = Duration::from_millis(300);

/// Looks after which a call is made though no balancer says that the store answers: each call is priced, and
/// balancers look for all agents.
const LOOKS: u32 = 7;

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

/// Where the agents of a failure domain have their lists.
pub(super) fn prefix(settings: &Settings) -> String {
    format!("nutmegkeel/flows/{}/{}/", settings.region, settings.domain)
}

/// Reads the predecessor's list, hands it to `recovered`, and writes lists from then on. `answers` tells
/// whether the store is known to answer others.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn(
    settings: &Settings,
    newest: &LatestEra,
    clock: Clock,
    lists: Receiver<Checkpoint>,
    answers: impl Fn() -> bool + Send + 'static,
    recovered: impl FnOnce(Option<Checkpoint>) + Send + 'static,
) -> io::Result<()> {
    let store = Metered::open(settings, newest, Purpose::Flows);
    let key = format!("{}{}", prefix(settings), settings.ip);
    // When the whole system starts for the first time nobody has left a list.
    let may_be_there = !settings.first_start;
    thread::Builder::new().name("checkpoint".to_owned()).spawn(move || {
        let mut reachability = Reachability::open(Purpose::Flows);
        let mut document = Document::open(key);
        let left = if may_be_there { read(&mut document, &store, &answers) } else { None };
        recovered(left);
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
            reachability.note(outcome);
        }
    })?;
    Ok(())
}

/// Tries until the store answers: at once, and then whenever it is said to answer others.
fn read(
    document: &mut Document,
    store: &Metered,
    answers: &impl Fn() -> bool,
) -> Option<Checkpoint> {
    let mut reachability = Reachability::open(Purpose::Flows);
    loop {
        match document.read(store) {
            Ok(value) => {
                reachability.note(Ok(()));
                return value.and_then(|bytes| decode(&bytes));
            }
            Err(fault) => reachability.note(Err(fault)),
        }
        let mut looks = 0;
        while looks == 0 || (looks < LOOKS && !answers()) {
            thread::sleep(RETRY);
            looks += 1;
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
