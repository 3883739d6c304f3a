//! The little a balancer reads of a caller's packet: the version-independent header (RFC 8999).

use std::io::Cursor;

use bytes::BytesMut;
use quinn_proto::{
    ConnectionId, FixedLengthConnectionIdParser, PacketDecodeError, ProtectedHeader,
};

use crate::cid;

/// QUIC version 1 (RFC 9000).
const VERSIONS: [u32; 1] = [1];
/// First bit of a long header.
const LONG: u8 = 0x80;
/// A short header: the first byte and the connection ID.
const SHORT_HEADER: usize = 1 + cid::LENGTH;

/// The form of a packet's header and its destination connection ID.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Header {
    /// Long: may open a flow, then the ID is the caller's choice.
    Long(ConnectionId),
    /// Short: belongs to a flow, the ID was issued here.
    Short(ConnectionId),
}

/// The header of a caller's datagram, or none when it is no QUIC packet.
#[must_use]
pub fn header(datagram: &[u8]) -> Option<Header> {
    let first = *datagram.first()?;
    if first & LONG == 0 {
        let short = datagram.get(..SHORT_HEADER)?;
        return decode(short).map(Header::Short);
    }
    decode(datagram).map(Header::Long)
}

fn decode(bytes: &[u8]) -> Option<ConnectionId> {
    let mut cursor = Cursor::new(BytesMut::from(bytes));
    let parser = FixedLengthConnectionIdParser::new(cid::LENGTH);
    match ProtectedHeader::decode(&mut cursor, &parser, &VERSIONS, false) {
        Ok(header) => Some(*header.dst_cid()),
        // The agent answers other versions with version negotiation.
        Err(PacketDecodeError::UnsupportedVersion { dst_cid, .. }) => Some(dst_cid),
        Err(PacketDecodeError::InvalidHeader(_)) => None,
    }
}
