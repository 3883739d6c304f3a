//! Free ports, chosen by the operating system.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Returns `count` loopback addresses whose ports were free for both TCP and UDP when checked.
///
/// # Errors
/// When the operating system has no free port.
pub fn free(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut held = Vec::new();
    while held.len() < count {
        let udp = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = udp.local_addr()?;
        if let Ok(tcp) = TcpListener::bind(address) {
            held.push((address, udp, tcp));
        }
    }
    Ok(held.into_iter().map(|(address, _, _)| address).collect())
}
