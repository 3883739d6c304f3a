//! The socket that QUIC runs on: callers' packets are received and sent inside frames.

use std::fmt;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use metrics::counter;
use nutmegkeel_core::agent::{Action, Event, MAX_PASSES, Opening};
use nutmegkeel_core::placement::Hop;
use nutmegkeel_wire::frame::{self, Frame, Header, Inbound, MAX_DATAGRAM, Outbound};
use nutmegkeel_wire::packet::{self, Header as Packet};
use nutmegkeel_wire::reset;
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use tokio::io::ReadBuf;

use super::shared::Shared;
use crate::metric;

/// Passes callers' packets to QUIC as if they had come directly from the callers.
#[derive(Debug)]
pub(super) struct Socket {
    shared: Arc<Shared>,
}

impl Socket {
    pub(super) const fn open(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl AsyncUdpSocket for Socket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Poller { shared: Arc::clone(&self.shared) })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let caller = transmit.destination;
        let shared = &self.shared;
        let now = shared.now();
        let (via, agent, report) = {
            let mut core = shared.core();
            (core.return_path(now, caller), core.hop(), core.report())
        };
        let Some(via) = via else {
            counter!(metric::DROPPED, "reason" => "no_way").increment(1);
            return Ok(());
        };
        let outbound = Outbound { class: shared.class_id, caller, agent, report };
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
        frame::encode(
            &shared.keys,
            now,
            Header::Outbound(outbound),
            transmit.contents,
            &mut buffer,
        );
        match shared.socket.try_send_to(&buffer, via) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            Err(_) => {
                counter!(metric::DROPPED, "reason" => "send").increment(1);
                Ok(())
            }
            Ok(_) => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let capacity = buffers.len().min(meta.len());
        let mut filled = 0;
        let mut datagram = [0; MAX_DATAGRAM];
        while filled < capacity {
            let mut read = ReadBuf::new(&mut datagram);
            match self.shared.socket.poll_recv_from(context, &mut read) {
                Poll::Pending if filled > 0 => break,
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Ready(Ok(_)) => {}
            }
            if let Some(received) = receive(&self.shared, read.filled()) {
                meta[filled] = copy_packet(&mut buffers[filled], &received);
                filled += 1;
            }
        }
        Poll::Ready(Ok(filled))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.shared.own)
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

/// Waits until the socket can send.
struct Poller {
    shared: Arc<Shared>,
}

impl fmt::Debug for Poller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Poller")
    }
}

impl UdpPoller for Poller {
    fn poll_writable(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.shared.socket.poll_send_ready(context))?;
        Poll::Ready(Ok(()))
    }
}

/// A caller's packet for this agent.
struct Received<'a> {
    caller: SocketAddr,
    packet: &'a [u8],
}

fn copy_packet(buffer: &mut IoSliceMut<'_>, received: &Received<'_>) -> RecvMeta {
    let length = received.packet.len().min(buffer.len());
    buffer[..length].copy_from_slice(&received.packet[..length]);
    RecvMeta { addr: received.caller, len: length, stride: length, ecn: None, dst_ip: None }
}

/// Decodes a datagram: handles a message, and returns a packet for this instance.
fn receive<'a>(shared: &Shared, datagram: &'a [u8]) -> Option<Received<'a>> {
    let Frame { header, packet } = match frame::decode(&shared.keys, shared.now(), datagram) {
        Ok(frame) => frame,
        Err(fault) => return drop_datagram(metric::frame_fault(fault)),
    };
    match header {
        Header::Inbound(inbound) => accept(shared, &inbound, packet),
        Header::Message(from, message) => {
            shared.handle(Event::Message(from, message));
            None
        }
        Header::Outbound(_) => drop_datagram("misdirected"),
    }
}

/// Checks class and instance at the last hop.
///
/// Guards against a packet that reaches the wrong class or instance: an address may be reused by
/// another class or by a later instance, and a balancer may not know that yet. Such a packet is
/// never passed to the transport, whatever its connection ID is.
fn accept<'a>(shared: &Shared, inbound: &Inbound, packet: &'a [u8]) -> Option<Received<'a>> {
    if inbound.class != shared.class_id {
        return drop_datagram("wrong_class");
    }
    let hop = shared.core().hop();
    if inbound.instance != hop.instance {
        match inbound.opening {
            Some(opening) => pass_on(shared, inbound, opening, packet),
            None => send_reset(shared, inbound, packet),
        }
        return drop_datagram("wrong_instance");
    }
    shared.core().record_caller(shared.now(), inbound.caller, inbound.via);
    if let Some(opening) = inbound.opening {
        let actions = shared.core().handle(shared.now(), Event::Opening(opening));
        if let Some(Action::PassOn(next)) = actions.into_iter().next() {
            forward_opening(shared, inbound, opening, next, packet);
            return None;
        }
    }
    Some(Received { caller: inbound.caller, packet })
}

/// Passes an opening that was meant for an earlier instance on to its next choice.
fn pass_on(shared: &Shared, inbound: &Inbound, opening: Opening, packet: &[u8]) {
    if let Some(next) = opening.next
        && opening.passes < MAX_PASSES
    {
        forward_opening(shared, inbound, opening, next, packet);
    }
}

fn forward_opening(shared: &Shared, inbound: &Inbound, opening: Opening, next: Hop, packet: &[u8]) {
    let opening = opening.forward_to(shared.core().hop());
    let onward = Inbound { instance: next.instance, opening: Some(opening), ..inbound.clone() };
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    frame::encode(&shared.keys, shared.now(), Header::Inbound(onward), packet, &mut buffer);
    if shared.socket.try_send_to(&buffer, next.address).is_ok() {
        counter!(metric::PASSED_ON).increment(1);
    }
}

/// Ends a flow of an earlier instance at this address, so that its caller need not wait for its
/// timeout.
fn send_reset(shared: &Shared, inbound: &Inbound, packet: &[u8]) {
    let Some(Packet::Short(id)) = packet::header(packet) else {
        return;
    };
    let Some(reset) = reset::packet(&shared.keys, &id, packet.len(), rand::random()) else {
        return;
    };
    let (agent, report) = {
        let core = shared.core();
        (core.hop(), core.report())
    };
    let outbound = Outbound { class: inbound.class, caller: inbound.caller, agent, report };
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    frame::encode(&shared.keys, shared.now(), Header::Outbound(outbound), &reset, &mut buffer);
    if shared.socket.try_send_to(&buffer, inbound.via).is_ok() {
        counter!(metric::RESETS).increment(1);
    }
}

fn drop_datagram<'a>(reason: &'static str) -> Option<Received<'a>> {
    counter!(metric::DROPPED, "reason" => reason).increment(1);
    None
}
