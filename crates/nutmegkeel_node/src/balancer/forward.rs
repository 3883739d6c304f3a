//! Forwards packets through a balancer: from callers to agents and back.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use metrics::counter;
use nutmegkeel_core::agent::Opening;
use nutmegkeel_core::balancer::{Action, Event};
use nutmegkeel_core::placement::{Hop, Key};
use nutmegkeel_wire::frame::{self, Header, Inbound, MAX_DATAGRAM, Outbound};
use nutmegkeel_wire::packet::{self, Header as Packet};
use nutmegkeel_wire::{cid, reset};

use super::{Listener, Shared};
use crate::metric;

/// Receives packets of callers at a class address until the balancer stops.
pub(super) fn receive_from_callers(shared: &Shared, listener: &Listener) {
    let mut datagram = [0; MAX_DATAGRAM];
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    while !shared.stopped.load(Ordering::Relaxed) {
        let Ok((length, caller)) = listener.socket.recv_from(&mut datagram) else {
            continue;
        };
        let datagram = &datagram[..length];
        if frame::is_frame(datagram) {
            handle_frame(shared, datagram);
        } else {
            handle_datagram(shared, listener, caller, datagram, &mut buffer);
        }
    }
}

/// Receives frames of agents and peers until the balancer stops.
pub(super) fn receive_from_processes(shared: &Shared) {
    let mut datagram = [0; MAX_DATAGRAM];
    while !shared.stopped.load(Ordering::Relaxed) {
        if let Ok((length, _)) = shared.frames.recv_from(&mut datagram) {
            handle_frame(shared, &datagram[..length]);
        }
    }
}

fn handle_datagram(
    shared: &Shared,
    listener: &Listener,
    caller: SocketAddr,
    datagram: &[u8],
    buffer: &mut Vec<u8>,
) {
    let now = shared.clock.now();
    shared.last_packet_ms.store(now.millis(), Ordering::Relaxed);
    match packet::header(datagram) {
        Some(Packet::Long(id)) => match cid::decode(&shared.keys, listener.id, &id) {
            Ok(hop) => forward(shared, listener, caller, hop, None, datagram, buffer),
            Err(_) => place_flow(shared, listener, caller, &id, datagram, buffer),
        },
        Some(Packet::Short(id)) => match cid::decode(&shared.keys, listener.id, &id) {
            Ok(hop) if shared.is_gone(hop.address, hop.instance) => {
                send_reset(shared, listener, caller, &id, datagram.len());
            }
            Ok(hop) => forward(shared, listener, caller, hop, None, datagram, buffer),
            Err(_) => drop_datagram("foreign_connection_id"),
        },
        None => drop_datagram("not_quic"),
    }
}

/// Places a flow whose connection ID was chosen by the caller.
fn place_flow(
    shared: &Shared,
    listener: &Listener,
    caller: SocketAddr,
    id: &[u8],
    datagram: &[u8],
    buffer: &mut Vec<u8>,
) {
    let place = listener.id.number().to_be_bytes();
    let key = Key::of(&[caller.to_string().as_bytes(), &place, id]);
    let opening = Event::Opening(listener.name.clone(), key);
    let actions = shared.core().handle(shared.clock.now(), opening);
    for action in actions {
        if let Action::Forward(choice) = action {
            counter!(metric::PLACED, "class" => listener.name.to_string()).increment(1);
            let opening = Opening::open(key, &choice);
            forward(shared, listener, caller, choice.first, Some(opening), datagram, buffer);
        } else {
            counter!(metric::UNPLACED, "class" => listener.name.to_string()).increment(1);
        }
    }
}

fn forward(
    shared: &Shared,
    listener: &Listener,
    caller: SocketAddr,
    hop: Hop,
    opening: Option<Opening>,
    datagram: &[u8],
    buffer: &mut Vec<u8>,
) {
    let inbound =
        Inbound { class: listener.id, caller, via: shared.own, instance: hop.instance, opening };
    frame::encode(&shared.keys, shared.clock.now(), Header::Inbound(inbound), datagram, buffer);
    if shared.frames.send_to(buffer, hop.address).is_err() {
        return drop_datagram("send");
    }
    counter!(metric::PACKETS_IN).increment(1);
}

/// Ends a flow whose agent is gone by sending a stateless reset.
///
/// Without the reset the caller would wait for its idle timeout.
fn send_reset(
    shared: &Shared,
    listener: &Listener,
    caller: SocketAddr,
    id: &[u8],
    provoking_len: usize,
) {
    if let Some(packet) = reset::packet(&shared.keys, id, provoking_len, rand::random())
        && listener.socket.send_to(&packet, caller).is_ok()
    {
        counter!(metric::RESETS).increment(1);
    }
}

fn handle_frame(shared: &Shared, datagram: &[u8]) {
    let frame = match frame::decode(&shared.keys, shared.clock.now(), datagram) {
        Ok(frame) => frame,
        Err(fault) => return drop_datagram(metric::frame_fault(fault)),
    };
    match frame.header {
        Header::Outbound(outbound) => send_to_caller(shared, &outbound, frame.packet),
        Header::Message(from, message) => shared.handle(Event::Message(from, message)),
        Header::Inbound(_) => drop_datagram("misdirected"),
    }
}

fn send_to_caller(shared: &Shared, outbound: &Outbound, packet: &[u8]) {
    let Some(listener) = shared.listeners.get(&outbound.class) else {
        return drop_datagram("unknown_class");
    };
    if listener.socket.send_to(packet, outbound.caller).is_err() {
        return drop_datagram("send");
    }
    counter!(metric::PACKETS_OUT).increment(1);
    shared.handle(Event::Reported(outbound.agent, outbound.report));
}

fn drop_datagram(reason: &'static str) {
    counter!(metric::DROPPED, "reason" => reason).increment(1);
}
