//! Writes an agent's list of open flows to the store, and reads the list that its predecessor left
//! there.

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

/// Number of lists that may wait for a store that does not answer. A newer list makes older ones
/// obsolete.
const QUEUE_CAPACITY: usize = 2;

/// Interval between two checks whether the store answers again. The list helps clients for a few
/// seconds only, so the first read must not be late.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Number of checks after which a call is made even if no balancer reports that the store answers.
/// Each call is charged for, and balancers check on behalf of all agents.
const MAX_CHECKS: u32 = 7;

/// Interval between two checks of the lease while nothing is written.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Passes lists to the thread that writes them, without blocking.
#[derive(Clone, Debug)]
pub(super) struct Writer(SyncSender<Checkpoint>);

impl Writer {
    /// Queues a list to be written. One that does not fit is dropped and counted; the next list
    /// replaces it.
    pub(super) fn write(&self, checkpoint: Checkpoint) {
        if self.0.try_send(checkpoint).is_err() {
            counter!(metric::DROPPED, "reason" => "checkpoint").increment(1);
        }
    }
}

/// Returns a writer and the receiver that [`spawn`] reads its lists from.
pub(super) fn channel() -> (Writer, Receiver<Checkpoint>) {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    (Writer(sender), receiver)
}

/// Returns the prefix of the keys under which the agents of a failure domain have their lists.
pub(super) fn prefix(settings: &Settings) -> String {
    format!("nutmegkeel/flows/{}/{}/", settings.region, settings.domain)
}

/// Starts the thread that reads the predecessor's list, passes it to `recovered`, and writes lists
/// from then on. `store_answers` returns whether the store is known to answer other processes.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn(
    settings: &Settings,
    latest_era: &LatestEra,
    clock: Clock,
    lists: Receiver<Checkpoint>,
    store_answers: impl Fn() -> bool + Send + 'static,
    recovered: impl FnOnce(Option<Checkpoint>) + Send + 'static,
) -> io::Result<()> {
    let store = Metered::open(settings, latest_era, Purpose::Flows);
    let key = format!("{}{}", prefix(settings), settings.ip);
    // No list can exist when the whole system starts for the first time.
    let may_exist = !settings.first_start;
    thread::Builder::new().name("checkpoint".to_owned()).spawn(move || {
        let mut reachability = Reachability::open(Purpose::Flows);
        let mut document = Document::open(key);
        let predecessor =
            if may_exist { read(&mut document, &store, &store_answers) } else { None };
        recovered(predecessor);
        let mut pending = None;
        loop {
            let pause = if pending.is_some() { RETRY_INTERVAL } else { LEASE_CHECK_INTERVAL };
            match lists.recv_timeout(pause) {
                Ok(newer) => pending = Some(newer),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let outcome = match &pending {
                Some(list) => document.write(&store, clock.now(), &wire::encode(list)),
                None => document.renew(&store, clock.now()),
            };
            if outcome.is_ok() {
                pending = None;
            }
            reachability.record(outcome);
        }
    })?;
    Ok(())
}

/// Reads the list, and tries again until the store answers: whenever it is reported to answer other
/// processes, and after `MAX_CHECKS` checks in any case.
fn read(
    document: &mut Document,
    store: &Metered,
    store_answers: &impl Fn() -> bool,
) -> Option<Checkpoint> {
    let mut reachability = Reachability::open(Purpose::Flows);
    loop {
        match document.read(store) {
            Ok(value) => {
                reachability.record(Ok(()));
                return value.and_then(|bytes| decode(&bytes));
            }
            Err(fault) => reachability.record(Err(fault)),
        }
        let mut checks = 0;
        while checks == 0 || (checks < MAX_CHECKS && !store_answers()) {
            thread::sleep(RETRY_INTERVAL);
            checks += 1;
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
                "list of flows has another version, continuing without it");
        }
    }
    list
}
