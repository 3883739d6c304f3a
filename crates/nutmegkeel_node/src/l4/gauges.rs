//! Gauges of a balancer's state: what it holds, and how the services and failure domains are used.
#![expect(clippy::cast_precision_loss, reason = "gauges are read by eye")]

use metrics::gauge;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::balancer::Balancer;

use crate::metric;

/// Sets all gauges.
pub(super) fn update(core: &Balancer, now: Time) {
    gauge!(metric::FLOWS).set(core.cached() as f64);
    gauge!(metric::CONFIGURATION).set(core.version() as f64);
    gauge!(metric::AGENTS).set(core.agents() as f64);
    gauge!(metric::EVACUATED).set(core.evacuated() as f64);
    update_rooms(core, now);
    update_evenness(core, now);
    update_utilization(core);
}

fn update_rooms(core: &Balancer, now: Time) {
    for room in core.rooms(now) {
        let service = metric::service_label(room.service);
        let domain = room.domain.to_string();
        gauge!(metric::ROOM_FREE, "service" => service.clone(), "domain" => domain.clone())
            .set(f64::from(room.free));
        gauge!(metric::ROOM_WAIT, "service" => service, "domain" => domain)
            .set(room.wait_ms as f64);
    }
}

fn update_evenness(core: &Balancer, now: Time) {
    for (service, evenness) in core.evenness(now) {
        let service = metric::service_label(service.number());
        gauge!(metric::SLOW_SERVERS, "service" => service.clone()).set(evenness.slow as f64);
        let to_mean = evenness.busiest as f64 / evenness.mean.max(1) as f64;
        gauge!(metric::BUSIEST_TO_MEAN, "service" => service).set(to_mean);
    }
}

/// Updates the utilization of failure domains; nothing where it is not computed.
fn update_utilization(core: &Balancer) {
    let fraction = |thousandths: u64| thousandths as f64 / 1_000.0;
    for level in core.levels() {
        let service = metric::service_label(level.service.number());
        let domain = level.domain.to_string();
        let utilization = fraction(level.utilization.unwrap_or(0));
        gauge!(metric::UTILIZATION, "service" => service, "domain" => domain).set(utilization);
    }
    if let Some(sent_remote) = core.sent_remote() {
        gauge!(metric::SENT_REMOTE).set(fraction(sent_remote));
    }
}
