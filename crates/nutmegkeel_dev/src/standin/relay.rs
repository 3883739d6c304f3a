//! A plain UDP relay: the least that a hop can cost, as a baseline.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Largest datagram.
const LARGEST: usize = 2_048;

/// Sends every datagram that arrives at `from` on to `to`, until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub fn run(from: SocketAddr, to: SocketAddr) -> io::Result<()> {
    let socket = UdpSocket::bind(from)?;
    let onward = UdpSocket::bind((from.ip(), 0))?;
    let mut datagram = [0; LARGEST];
    loop {
        let (length, _) = socket.recv_from(&mut datagram)?;
        let _ = onward.send_to(&datagram[..length], to);
    }
}
