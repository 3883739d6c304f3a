//! Reads the configuration from the platform when the core asks for it.

use std::sync::mpsc::Receiver;

use log::info;
use metrics::counter;
use nutmegkeel_core::balancer::Event;
use nutmegkeel_store::classes;

use super::Shared;
use crate::metric;

/// Reads once for each request until the balancer ends. Requests that gathered during a slow read
/// are answered by the next one.
pub(super) fn read_on_request(shared: &Shared, requests: &Receiver<()>) {
    let mut reachable = true;
    while requests.recv().is_ok() {
        while requests.try_recv().is_ok() {}
        let read = classes::read(&shared.platform);
        if read.is_ok() != reachable {
            reachable = read.is_ok();
            info!(event = "platform_reachable", reachable = reachable; "platform changed");
        }
        match read {
            Ok(entries) => shared.handle(Event::Read(entries)),
            Err(_) => counter!(metric::PLATFORM_FAILURES).increment(1),
        }
    }
}
