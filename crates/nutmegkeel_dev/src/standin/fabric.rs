//! Stand-in for the fabric: forwards every packet to a random balancer that reports itself healthy.
//!
//! Each caller gets a socket of its own towards the balancers, so that they see one address per
//! caller, as behind a real fabric.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

/// Interval between two health checks of a balancer, and their timeout.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a packet after which a caller's socket is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 2_048;

/// Addresses at which a balancer receives packets and reports its health.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Balancer {
    /// Address of its HTTP server.
    pub web: SocketAddr,
    /// Its address for each public address, in the same order.
    pub desks: Vec<SocketAddr>,
}

/// Settings of the stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settings {
    /// Public addresses: one per class.
    pub public: Vec<SocketAddr>,
    /// Balancers, including those not started yet.
    pub balancers: Vec<Balancer>,
    /// Faults of the network.
    pub trouble: Trouble,
}

/// Faults of the network between callers and balancers.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Trouble {
    /// Share of the packets that are lost in each direction, in percent.
    pub loss_percent: u32,
    /// Time after the first packet of a caller for which all replies to it are lost, in
    /// milliseconds.
    pub mute_ms: u64,
}

impl Trouble {
    fn loses_packet(self) -> bool {
        rand::rng().random_ratio(self.loss_percent.min(100), 100)
    }
}

type Healthy = Arc<RwLock<Vec<Balancer>>>;
type Callers = Arc<Mutex<BTreeMap<SocketAddr, Caller>>>;

struct Caller {
    socket: Arc<UdpSocket>,
    last_seen: Instant,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
/// When the settings cannot be read or an address cannot be bound.
pub fn run(file: &Path) -> std::io::Result<()> {
    let settings: Settings = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let healthy: Healthy = Arc::default();
    for balancer in settings.balancers {
        let healthy = Arc::clone(&healthy);
        std::thread::spawn(move || check_health(&balancer, &healthy));
    }
    runtime.block_on(async {
        let mut tasks = tokio::task::JoinSet::new();
        for (index, address) in settings.public.into_iter().enumerate() {
            let socket = Arc::new(UdpSocket::bind(address).await?);
            tasks.spawn(forward(socket, index, Arc::clone(&healthy), settings.trouble));
        }
        while tasks.join_next().await.is_some() {}
        Ok(())
    })
}

fn check_health(balancer: &Balancer, healthy: &Healthy) {
    let config = ureq::Agent::config_builder().timeout_global(Some(HEALTH_CHECK_INTERVAL)).build();
    let http = ureq::Agent::new_with_config(config);
    let url = format!("http://{}/health", balancer.web);
    loop {
        let is_healthy = http.get(&url).call().is_ok();
        let mut listed = healthy.write().unwrap_or_else(PoisonError::into_inner);
        listed.retain(|other| other.web != balancer.web);
        if is_healthy {
            listed.push(balancer.clone());
        }
        drop(listed);
        std::thread::sleep(HEALTH_CHECK_INTERVAL);
    }
}

async fn forward(public: Arc<UdpSocket>, index: usize, healthy: Healthy, trouble: Trouble) {
    let callers: Callers = Arc::default();
    let mut datagram = [0; MAX_DATAGRAM];
    loop {
        let Ok((length, from)) = public.recv_from(&mut datagram).await else {
            continue;
        };
        let Some(balancer) = pick(&healthy, index).filter(|_| !trouble.loses_packet()) else {
            continue;
        };
        let Ok(socket) = caller_socket(&callers, &public, from, trouble).await else {
            continue;
        };
        // The fabric may lose packets; QUIC retransmits them.
        let _ = socket.send_to(&datagram[..length], balancer).await;
    }
}

fn pick(healthy: &Healthy, index: usize) -> Option<SocketAddr> {
    let listed = healthy.read().unwrap_or_else(PoisonError::into_inner);
    let balancer = listed.choose(&mut rand::rng())?;
    balancer.desks.get(index).copied()
}

async fn caller_socket(
    callers: &Callers,
    public: &Arc<UdpSocket>,
    from: SocketAddr,
    trouble: Trouble,
) -> std::io::Result<Arc<UdpSocket>> {
    {
        let mut callers = callers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(caller) = callers.get_mut(&from) {
            caller.last_seen = Instant::now();
            return Ok(Arc::clone(&caller.socket));
        }
    }
    let socket = Arc::new(UdpSocket::bind((from.ip(), 0)).await?);
    let caller = Caller { socket: Arc::clone(&socket), last_seen: Instant::now() };
    callers.lock().unwrap_or_else(PoisonError::into_inner).insert(from, caller);
    let back = (Arc::clone(callers), Arc::clone(public), Arc::clone(&socket));
    tokio::spawn(forward_replies(back.0, back.1, back.2, from, trouble));
    Ok(socket)
}

async fn forward_replies(
    callers: Callers,
    public: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    caller: SocketAddr,
    trouble: Trouble,
) {
    let (began, mute) = (Instant::now(), Duration::from_millis(trouble.mute_ms));
    let mut datagram = [0; MAX_DATAGRAM];
    loop {
        let received = tokio::time::timeout(IDLE_TIMEOUT, socket.recv_from(&mut datagram)).await;
        match received {
            Ok(Ok(_)) if began.elapsed() < mute || trouble.loses_packet() => {}
            Ok(Ok((length, _))) => {
                let _ = public.send_to(&datagram[..length], caller).await;
            }
            Ok(Err(_)) => {}
            Err(_) => {
                let mut callers = callers.lock().unwrap_or_else(PoisonError::into_inner);
                let is_idle = callers
                    .get(&caller)
                    .is_none_or(|known| known.last_seen.elapsed() > IDLE_TIMEOUT);
                if is_idle {
                    callers.remove(&caller);
                    return;
                }
            }
        }
    }
}
