//! The QUIC endpoint of an agent: its certificate, connection IDs and limits.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use nutmegkeel_core::class;
use nutmegkeel_core::placement::Hop;
use nutmegkeel_wire::cid;
use nutmegkeel_wire::key::Ring;
use nutmegkeel_wire::reset::Signer;
use quinn::crypto::rustls::QuicServerConfig;
use quinn::{
    ConnectionId, ConnectionIdGenerator, Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig,
    ServerConfig, TokioRuntime, TransportConfig, VarInt,
};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use super::Fault;
use super::shared::Shared;
use super::socket::Socket;
use crate::settings;

/// Application protocol of HTTP/3 (RFC 9114, section 3.1).
const HTTP3: &[u8] = b"h3";
/// Idle timeout of a flow at both ends (RFC 9000, section 10.1).
///
/// Guards against a flow that stays silent after its agent died. A caller that only receives sends
/// nothing that a balancer could answer with a reset, so this timeout is its only signal.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the packets that keep an idle flow open; three may be lost before the flow ends.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of requests in progress on one flow.
const MAX_STREAMS: VarInt = VarInt::from_u32(64);
/// Receive window of one request, in bytes; bounds memory per flow.
const STREAM_WINDOW: VarInt = VarInt::from_u32(256 * 1024);
/// Receive window of all requests of a flow, in bytes.
const FLOW_WINDOW: VarInt = VarInt::from_u32(1024 * 1024);
/// Maximum number of bytes sent and not acknowledged on a flow; bounds memory per flow.
const SEND_WINDOW: u64 = 1024 * 1024;
/// Largest packet that fits an Ethernet frame together with the frame header.
const MAX_PACKET_SIZE: u16 = 1_380;

/// Creates the endpoint on the agent's frame socket.
pub(super) fn open(settings: &settings::Agent, shared: &Arc<Shared>) -> Result<Endpoint, Fault> {
    let certificates = certificates(&settings.certificate).map_err(Fault::Certificate)?;
    let key = private_key(&settings.private_key).map_err(Fault::Certificate)?;
    let server = server(certificates, key).map_err(Fault::Certificate)?;
    let signer = Arc::new(Signer::open(shared.keys.clone()));
    let mut config = EndpointConfig::new(signer);
    // Callers may clear the fixed bit only if the agent permits it (RFC 9287). Balancers
    // distinguish packets from frames by this bit: one in two packets would be dropped as neither.
    config.grease_quic_bit(false);
    let (keys, class, hop) = (shared.keys.clone(), shared.class_id, shared.core().hop());
    config.cid_generator(move || Box::new(Generator::open(keys.clone(), class, hop)));
    let socket = Arc::new(Socket::open(Arc::clone(shared)));
    Endpoint::new_with_abstract_socket(config, Some(server), socket, Arc::new(TokioRuntime))
        .map_err(Fault::Start)
}

fn server(
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, String> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| error.to_string())?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .map_err(|error| error.to_string())?;
    tls.alpn_protocols = vec![HTTP3.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(|error| error.to_string())?;
    let mut server = ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(Arc::new(transport()));
    Ok(server)
}

fn transport() -> TransportConfig {
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_PACKET_SIZE);
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(MAX_STREAMS)
        .stream_receive_window(STREAM_WINDOW)
        .receive_window(FLOW_WINDOW)
        .send_window(SEND_WINDOW)
        .max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok())
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .mtu_discovery_config(Some(discovery));
    transport
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let text = std::fs::read(path).map_err(|error| error.to_string())?;
    rustls_pemfile::certs(&mut text.as_slice())
        .collect::<Result<_, _>>()
        .map_err(|error| format!("{}: {error}", path.display()))
}

fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, String> {
    let text = std::fs::read(path).map_err(|error| error.to_string())?;
    rustls_pemfile::private_key(&mut text.as_slice())
        .map_err(|error| format!("{}: {error}", path.display()))?
        .ok_or_else(|| format!("{}: holds no private key", path.display()))
}

/// Issues connection IDs from which every balancer can find this agent.
struct Generator {
    keys: Ring,
    class: class::Id,
    hop: Hop,
    next_nonce: u64,
}

impl Generator {
    fn open(keys: Ring, class: class::Id, hop: Hop) -> Self {
        // The generators of an instance start at random points of a space of 2^48, so their nonces
        // do not collide.
        Self { keys, class, hop, next_nonce: rand::random() }
    }
}

impl ConnectionIdGenerator for Generator {
    fn generate_cid(&mut self) -> ConnectionId {
        self.next_nonce = self.next_nonce.wrapping_add(1);
        // The address was checked when the agent started, so encoding cannot fail.
        let bytes = cid::encode(&self.keys, self.class, self.hop, self.next_nonce);
        ConnectionId::new(&bytes.unwrap_or_default())
    }

    fn cid_len(&self) -> usize {
        cid::LENGTH
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
