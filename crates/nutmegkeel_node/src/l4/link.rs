//! The sockets of a role. Datagrams that cannot be received, understood or sent are counted.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::thread;

use metrics::counter;
use nutmegkeel_core::l4::flow::{Direction, Head};
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_platform::packet;
use nutmegkeel_wire::l4 as wire;

use super::Fault;
use crate::metric;

/// Binds a UDP socket.
///
/// # Errors
/// When the address cannot be bound; names the address and its purpose.
pub(super) fn bind(what: &'static str, address: SocketAddrV4) -> Result<UdpSocket, Fault> {
    UdpSocket::bind(address).map_err(|error| Fault::Bind { what, address, error })
}

/// Calls `handle` with every datagram of a socket, on a separate thread.
///
/// # Errors
/// When the thread cannot be started.
pub(super) fn spawn_reader(
    name: &str,
    socket: Arc<UdpSocket>,
    mut handle: impl FnMut(&mut [u8], Ipv4Addr) + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        let mut buffer = [0; wire::MAX_DATAGRAM];
        loop {
            match socket.recv_from(&mut buffer) {
                Ok((length, std::net::SocketAddr::V4(from))) => {
                    handle(&mut buffer[..length], *from.ip());
                }
                Ok(_) => drop_datagram("address"),
                // An earlier datagram was refused by its destination (ICMP). The socket stays
                // usable.
                Err(_) => drop_datagram("receive"),
            }
        }
    })?;
    Ok(())
}

/// The socket for messages between processes.
#[derive(Clone, Debug)]
pub(super) struct Link {
    socket: Arc<UdpSocket>,
    port: u16,
}

impl Link {
    /// Binds the address for messages; its port is the same on all hosts.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub(super) fn bind(address: SocketAddrV4) -> Result<Self, Fault> {
        let socket = bind("messages", address)?;
        Ok(Self { socket: Arc::new(socket), port: address.port() })
    }

    /// Returns the socket, for reading.
    pub(super) fn socket(&self) -> Arc<UdpSocket> {
        Arc::clone(&self.socket)
    }

    /// Returns the address for messages of another process.
    pub(super) const fn address_of(&self, host: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(host, self.port)
    }

    /// Sends a message, followed by the packet.
    pub(super) fn send(&self, to: Ipv4Addr, message: &Message, packet: &[u8]) {
        let mut buffer = Vec::with_capacity(wire::MAX_DATAGRAM);
        wire::encode(message, packet, &mut buffer);
        if packet.is_empty() {
            counter!(metric::CONTROL_BYTES).increment(buffer.len() as u64);
        }
        send(&self.socket, &buffer, self.address_of(to));
    }
}

/// Sends a datagram. One that cannot be sent is counted as dropped; its sender sends it again, as
/// after any loss.
pub(super) fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddrV4) {
    if socket.send_to(bytes, to).is_err() {
        drop_datagram("send");
    }
}

/// Returns the head of the client's packet that follows a message. A packet that cannot be decoded
/// is counted as dropped.
pub(super) fn client_head(packet: &[u8]) -> Option<Head> {
    let head = packet::decode(packet, Direction::ToService).ok();
    if head.is_none() {
        drop_datagram("packet");
    }
    head
}

/// Counts a datagram that was dropped.
pub(super) fn drop_datagram(reason: &'static str) {
    counter!(metric::DROPPED, "reason" => reason).increment(1);
}
