//! Packets through a balancer: from callers to agents and back.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use metrics::counter;
use nutmegkeel_core::agent::Opening;
use nutmegkeel_core::balancer::{Action, Event};
use nutmegkeel_core::placement::{Hop, Key};
use nutmegkeel_wire::frame::{self, Header, Inbound, MAX_DATAGRAM, Outbound};
use nutmegkeel_wire::packet::{self, Header as Packet};
use nutmegkeel_wire::{cid, reset};

use super::{Desk, Shared};
use crate::metric;

/// Takes callers' packets from a class address until the balancer stops.
pub(super) fn from_callers(shared: &Shared, desk: &Desk) {
    let mut datagram = [0; MAX_DATAGRAM];
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    while !shared.stopped.load(Ordering::Relaxed) {
        let Ok((length, caller)) = desk.socket.recv_from(&mut datagram) else {
            continue;
        };
        let datagram = &datagram[..length];
        if frame::is_frame(datagram) {
            from_process(shared, datagram);
        } else {
            from_caller(shared, desk, caller, datagram, &mut buffer);
        }
    }
}

/// Takes frames of agents and peers until the balancer stops.
pub(super) fn from_processes(shared: &Shared) {
    let mut datagram = [0; MAX_DATAGRAM];
    while !shared.stopped.load(Ordering::Relaxed) {
        if let Ok((length, _)) = shared.frames.recv_from(&mut datagram) {
            from_process(shared, &datagram[..length]);
        }
    }
}

fn from_caller(
    shared: &Shared,
    desk: &Desk,
    caller: SocketAddr,
    datagram: &[u8],
    buffer: &mut Vec<u8>,
) {
    let now = shared.clock.now();
    shared.last_packet_ms.store(now.millis(), Ordering::Relaxed);
    match packet::header(datagram) {
        Some(Packet::Long(id)) => match cid::decode(&shared.keys, desk.id, &id) {
            Ok(hop) => send_on(shared, desk, caller, hop, None, datagram, buffer),
            Err(_) => open(shared, desk, caller, &id, datagram, buffer),
        },
        Some(Packet::Short(id)) => match cid::decode(&shared.keys, desk.id, &id) {
            Ok(hop) if shared.is_gone(hop.address, hop.instance) => {
                end(shared, desk, caller, &id, datagram.len());
            }
            Ok(hop) => send_on(shared, desk, caller, hop, None, datagram, buffer),
            Err(_) => dropped("foreign_connection_id"),
        },
        None => dropped("not_quic"),
    }
}

/// Places a flow whose connection ID is the caller's choice.
fn open(
    shared: &Shared,
    desk: &Desk,
    caller: SocketAddr,
    id: &[u8],
    datagram: &[u8],
    buffer: &mut Vec<u8>,
) {
    let place = desk.id.number().to_be_bytes();
    let key = Key::of(&[caller.to_string().as_bytes(), &place, id]);
    let opening = Event::Opening(desk.name.clone(), key);
    let actions = shared.core().handle(shared.clock.now(), opening);
    for action in actions {
        if let Action::Forward(choice) = action {
            counter!(metric::PLACED, "class" => desk.name.to_string()).increment(1);
            let opening = Opening::open(key, &choice);
            send_on(shared, desk, caller, choice.first, Some(opening), datagram, buffer);
        } else {
            counter!(metric::UNPLACED, "class" => desk.name.to_string()).increment(1);
        }
    }
}

fn send_on(
    shared: &Shared,
    desk: &Desk,
    caller: SocketAddr,
    hop: Hop,
    opening: Option<Opening>,
    datagram: &[u8],
    buffer: &mut Vec<u8>,
) {
    let inbound =
        Inbound { class: desk.id, caller, via: shared.own, instance: hop.instance, opening };
    frame::encode(&shared.keys, shared.clock.now(), Header::Inbound(inbound), datagram, buffer);
    if shared.frames.send_to(buffer, hop.address).is_err() {
        return dropped("send");
    }
    counter!(metric::PACKETS_IN).increment(1);
}

/// Ends a flow whose agent is gone.
///
/// Guards against silence: without the reset the caller would wait for its idle timeout.
fn end(shared: &Shared, desk: &Desk, caller: SocketAddr, id: &[u8], provoked_by: usize) {
    if let Some(packet) = reset::packet(&shared.keys, id, provoked_by, rand::random())
        && desk.socket.send_to(&packet, caller).is_ok()
    {
        counter!(metric::RESETS).increment(1);
    }
}

fn from_process(shared: &Shared, datagram: &[u8]) {
    let frame = match frame::decode(&shared.keys, shared.clock.now(), datagram) {
        Ok(frame) => frame,
        Err(fault) => return dropped(metric::frame_fault(fault)),
    };
    match frame.header {
        Header::Outbound(outbound) => to_caller(shared, &outbound, frame.packet),
        Header::Message(from, message) => shared.handle(Event::Message(from, message)),
        Header::Inbound(_) => dropped("misdirected"),
    }
}

fn to_caller(shared: &Shared, outbound: &Outbound, packet: &[u8]) {
    let Some(desk) = shared.desks.get(&outbound.class) else {
        return dropped("unknown_class");
    };
    if desk.socket.send_to(packet, outbound.caller).is_err() {
        return dropped("send");
    }
    counter!(metric::PACKETS_OUT).increment(1);
    shared.handle(Event::Reported(outbound.agent, outbound.report));
}

fn dropped(reason: &'static str) {
    counter!(metric::DROPPED, "reason" => reason).increment(1);
}
