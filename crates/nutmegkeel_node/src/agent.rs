//! Runs an agent: terminates QUIC, applies the core's decisions, and sends requests to its backend
//! server over HTTP/1.1.

mod announcement;
mod backend;
mod claims;
mod flow;
mod line_budget;
mod request;
mod shared;
mod socket;
mod transport;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use nutmegkeel_core::agent::Event;
use nutmegkeel_core::lifecycle::Phase;
use nutmegkeel_store::etcd;
use tokio::net::TcpListener;

use crate::address;
use crate::clock::Clock;
use crate::metric;
use crate::settings;
use crate::web::{self, Answer, Call};
use announcement::Announcement;
use shared::Shared;

/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks whether to stop while the announcement is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Call that the agent's HTTP server received.
enum Notice {
    Announced(Announcement),
    Drain,
}

/// Why an agent could not start.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// An address could not be bound.
    #[error(transparent)]
    Bind(#[from] address::Fault),
    /// The certificate or its key cannot be used.
    #[error("fields `certificate` and `private_key`: {0}")]
    Certificate(String),
    /// A thread or the runtime could not be started.
    #[error("cannot start: {0}")]
    Start(io::Error),
    /// The backend server announced an address that an agent cannot serve.
    #[error("the agent's own address {0} is not IPv4")]
    Address(SocketAddr),
}

/// An agent whose backend server has not announced itself yet.
pub struct Waiting {
    settings: settings::Agent,
    notices: Receiver<Notice>,
    web: web::Handle,
}

/// A running agent.
pub struct Handle {
    shared: Arc<Shared>,
    _web: web::Handle,
    _runtime: tokio::runtime::Runtime,
}

/// Starts the HTTP server that receives the backend server's announcement.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind(settings: settings::Agent, metrics: metric::Handle) -> Result<Waiting, Fault> {
    let (notify, notices) = channel();
    let address = settings.common.web;
    let handler = move |call: &Call| match (call.post, call.path.as_str()) {
        (false, "/health") => Answer::new(200, "running\n"),
        (false, "/metrics") => Answer::new(200, metrics.render()),
        (true, "/drain") => {
            let _ = notify.send(Notice::Drain);
            Answer::new(200, "leaving\n")
        }
        (true, "/announce") => match announcement::parse(&call.body) {
            Ok(announcement) => {
                let _ = notify.send(Notice::Announced(announcement));
                Answer::new(200, "announced\n")
            }
            Err(fault) => Answer::new(400, format!("{fault}\n")),
        },
        _ => Answer::new(404, "there are POST /announce, POST /drain, /health and /metrics\n"),
    };
    let web = web::spawn(address, Box::new(handler)).map_err(address::Fault::of("web", address))?;
    Ok(Waiting { settings, notices, web })
}

impl Waiting {
    /// Waits for the announcement, then starts to serve. Returns `None` if `stop` returns true
    /// first.
    ///
    /// # Errors
    /// When an address cannot be bound or the certificate cannot be used.
    pub fn spawn(self, stop: impl Fn() -> bool) -> Result<Option<Handle>, Fault> {
        let announcement = loop {
            if stop() {
                return Ok(None);
            }
            if let Ok(Notice::Announced(announcement)) = self.notices.recv_timeout(POLL_INTERVAL) {
                break announcement;
            }
        };
        let handle = serve(&self.settings, &announcement, self.web)?;
        let shared = Arc::clone(&handle.shared);
        let notices = self.notices;
        spawn_thread("notices", move || handle_notices(&shared, &notices))?;
        Ok(Some(handle))
    }
}

impl Handle {
    /// Starts to leave. [`Handle::is_over`] returns true once nothing is open any more.
    pub fn leave(&self) {
        self.shared.handle(Event::Leave);
    }

    /// Returns whether the agent has reached the end of its life cycle and its process may exit.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.shared.phase() == Phase::Gone || self.shared.is_superseded()
    }
}

fn serve(
    settings: &settings::Agent,
    announcement: &Announcement,
    web: web::Handle,
) -> Result<Handle, Fault> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(Fault::Start)?;
    let entered = runtime.enter();
    let shared = Arc::new(shared::open(settings, announcement, Clock::open())?);
    let endpoint = transport::open(settings, &shared)?;
    drop(entered);
    runtime.spawn(flow::accept_all(Arc::clone(&shared), endpoint));
    runtime.spawn(show_open_port(shared.own));
    runtime.spawn(run_ticks(Arc::clone(&shared)));
    let store = etcd::Client::open(&settings.common.platform);
    let claims = Arc::clone(&shared);
    spawn_thread("claims", move || claims::write_all(&claims, &store))?;
    shared.handle(Event::Announced(announcement.capacity()));
    info!(event = "agent_started", class = &*announcement.class,
        backend:display = announcement.address; "agent started");
    Ok(Handle { shared, _web: web, _runtime: runtime })
}

/// Keeps a port for connections open at the address for frames. Balancers check it before they
/// consider the flows of this process lost.
///
/// Without it they do so as soon as their probes go unanswered.
async fn show_open_port(address: SocketAddr) {
    match TcpListener::bind(address).await {
        // Connections carry nothing. One that cannot be accepted waits in the queue, where it serves
        // its purpose too.
        Ok(listener) => loop {
            if listener.accept().await.is_err() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        },
        Err(error) => {
            warn!(event = "port_not_open", address:display = address, fault:% = error;
                "no port for connections");
        }
    }
}

async fn run_ticks(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        shared.handle(Event::Tick);
    }
}

fn handle_notices(shared: &Shared, notices: &Receiver<Notice>) {
    while let Ok(notice) = notices.recv() {
        match notice {
            Notice::Announced(announcement) => {
                shared.handle(Event::Announced(announcement.capacity()));
            }
            Notice::Drain => shared.handle(Event::Leave),
        }
    }
}

fn spawn_thread(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), Fault> {
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(body).map(drop).map_err(Fault::Start)
}
