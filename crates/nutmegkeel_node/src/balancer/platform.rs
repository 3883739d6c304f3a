//! Reads the configuration from the platform when the core requests it.

use std::sync::mpsc::Receiver;

use log::info;
use metrics::counter;
use nutmegkeel_core::balancer::Event;
use nutmegkeel_store::classes;

use super::Shared;
use crate::metric;

/// Reads once for each request until the balancer ends. The next read answers all requests that
/// arrived during a slow one.
pub(super) fn read_on_request(shared: &Shared, requests: &Receiver<()>) {
    let mut reachable = true;
    while requests.recv().is_ok() {
        while requests.try_recv().is_ok() {}
        let read = classes::read(&shared.platform);
        if read.is_ok() != reachable {
            reachable = read.is_ok();
            info!(event = "platform_reachable", reachable = reachable;
                "reachability of the platform changed");
        }
        match read {
            Ok(entries) => shared.handle(Event::Read(entries)),
            Err(_) => counter!(metric::PLATFORM_FAILURES).increment(1),
        }
    }
}
