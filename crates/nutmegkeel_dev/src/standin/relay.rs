//! Plain UDP relay, the baseline for the lowest possible cost of a hop.

use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 2_048;

/// Forwards every datagram received at `from` to `to` until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub fn run(from: SocketAddr, to: SocketAddr) -> io::Result<()> {
    let socket = UdpSocket::bind(from)?;
    let onward = UdpSocket::bind((from.ip(), 0))?;
    let mut datagram = [0; MAX_DATAGRAM];
    loop {
        let (length, _) = socket.recv_from(&mut datagram)?;
        let _ = onward.send_to(&datagram[..length], to);
    }
}
