//! The administration API of a balancer: JSON-RPC over HTTP, with a token.

pub mod api;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, Response, StatusCode};
use jsonrpsee::RpcModule;
use jsonrpsee::server::{HttpBody, Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use log::info;
use nutmegkeel_core::balancer::Event;
use nutmegkeel_core::change::Action;
use nutmegkeel_core::lifecycle::Phase;
use nutmegkeel_core::member::Rumor;
use nutmegkeel_core::placement::Hop;
use nutmegkeel_core::verdict::Verdict;
use nutmegkeel_store::classes;
use tokio::runtime::Runtime;
use tower_http::validate_request::{ValidateRequest, ValidateRequestHeaderLayer};

use crate::balancer::Shared;
use api::{Class, Outcome, Process, SetClass, Status};

/// Timeout of a change that the platform has not settled, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 5_000;
/// Interval between two drain requests.
const DRAIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of drain requests.
const MAX_DRAIN_ATTEMPTS: usize = 12;
/// JSON-RPC error code for invalid parameters.
const INVALID_PARAMS: i32 = -32_602;

/// A running administration API.
pub(crate) struct Handle {
    _server: ServerHandle,
    _runtime: Runtime,
}

/// Serves the API at `address` to callers that send `token`.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) fn spawn(
    address: SocketAddr,
    token: &str,
    shared: Arc<Shared>,
) -> std::io::Result<Handle> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("administration")
        .enable_all()
        .build()?;
    let module = module(shared).map_err(std::io::Error::other)?;
    let server = runtime.block_on(async {
        let guard = tower::ServiceBuilder::new()
            .layer(ValidateRequestHeaderLayer::custom(Authorizer::open(token)));
        let server = Server::builder().set_http_middleware(guard).build(address).await?;
        Ok::<_, std::io::Error>(server.start(module))
    })?;
    Ok(Handle { _server: server, _runtime: runtime })
}

/// Refuses calls without the token.
#[derive(Clone)]
struct Authorizer {
    expected: Arc<str>,
}

impl Authorizer {
    fn open(token: &str) -> Self {
        Self { expected: format!("Bearer {token}").into() }
    }
}

impl<B> ValidateRequest<B> for Authorizer {
    type ResponseBody = HttpBody;

    fn validate(&mut self, request: &mut Request<B>) -> Result<(), Response<HttpBody>> {
        let given = request.headers().get(AUTHORIZATION).map_or(&b""[..], HeaderValue::as_bytes);
        // Comparing hashes reveals nothing about where two tokens differ; equal hashes mean equal
        // tokens.
        if blake3::hash(given) == blake3::hash(self.expected.as_bytes()) {
            return Ok(());
        }
        let mut refusal = Response::new(HttpBody::default());
        *refusal.status_mut() = StatusCode::UNAUTHORIZED;
        Err(refusal)
    }
}

fn module(
    shared: Arc<Shared>,
) -> Result<RpcModule<Arc<Shared>>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(shared);
    module.register_method(api::CLASSES, |_, shared, _| list_classes(shared))?;
    module
        .register_method(api::STATUS, |_, shared, _| Ok::<_, ErrorObjectOwned>(status(shared)))?;
    module.register_blocking_method(api::SET_CLASS, |parameters, shared, _| {
        let request: SetClass = parameters.one()?;
        set_class(&shared, request)
    })?;
    module.register_blocking_method(api::DRAIN, |parameters, shared, _| {
        let address: SocketAddr = parameters.one()?;
        Ok::<_, ErrorObjectOwned>(drain(&shared, address))
    })?;
    Ok(module)
}

fn list_classes(shared: &Shared) -> Vec<Class> {
    let core = shared.core();
    let entries = core.configuration().entries();
    let class = |entry: &nutmegkeel_core::configuration::Entry| Class {
        name: entry.name.clone(),
        revision: entry.revision,
        target: entry.target.clone(),
        takers: core.takers(&entry.name),
    };
    entries.map(class).collect()
}

fn status(shared: &Shared) -> Status {
    let core = shared.core();
    let peer = core.peer();
    let process = |rumor: &Rumor| Process {
        address: rumor.record.address,
        instance: rumor.record.instance,
        class: rumor.record.capacity().map(|capacity| capacity.class.clone()),
        domain: rumor.record.domain.clone(),
        health: rumor.health,
        phase: rumor.record.phase,
        revision: peer.revision_of(rumor.record.address),
    };
    Status {
        address: peer.membership().me().address,
        revision: core.configuration().revision(),
        standing: core.standing(),
        processes: peer.membership().beliefs().map(process).collect(),
    }
}

/// Executes a change. The operator is told that it was accepted only after it was written.
fn set_class(shared: &Shared, request: SetClass) -> Result<Outcome, ErrorObjectOwned> {
    let faults = request.target.as_ref().map(nutmegkeel_core::class::Target::faults);
    if let Some(faults) = faults.filter(|faults| !faults.is_empty()) {
        let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
        return Err(ErrorObjectOwned::owned(INVALID_PARAMS, texts.join("; "), None::<()>));
    }
    let class = request.class.clone();
    let deadline = shared.now().after(CHANGE_TIMEOUT_MS);
    let wait = |millis| std::thread::sleep(Duration::from_millis(millis));
    let ended = classes::change(shared.platform(), request, deadline, || shared.now(), wait);
    info!(event = "class_change", class = &*class, ended:? = ended; "change of a class ended");
    Ok(outcome(shared, ended))
}

fn outcome(shared: &Shared, ended: Action) -> Outcome {
    let (verdict, message, revision) = match ended {
        Action::Accepted(entry) => {
            let revision = entry.revision;
            shared.handle(Event::Accepted(entry));
            (Verdict::Ran, "accepted and written", Some(revision))
        }
        Action::Conflict(revision) => (
            Verdict::NotRun,
            "another change came first; read the class and decide anew",
            Some(revision),
        ),
        Action::MayHaveRun => {
            (Verdict::MayHaveRun, "the platform did not say; repeat with the same identity", None)
        }
        Action::NotRun | Action::Read | Action::ReadLater(_) | Action::Swap(..) => {
            (Verdict::NotRun, "the platform cannot be reached; nothing was written", None)
        }
    };
    Outcome { verdict, message: message.to_owned(), revision }
}

/// Requests a process to leave, again and again until its record shows that it does.
fn drain(shared: &Shared, address: SocketAddr) -> Outcome {
    let Some(hop) = find_living(shared, address).map(|(hop, _)| hop) else {
        let message = format!("no living process is known at {address}");
        return Outcome { verdict: Verdict::NotRun, message, revision: None };
    };
    for _ in 0..MAX_DRAIN_ATTEMPTS {
        shared.handle(Event::Drain(hop));
        std::thread::sleep(DRAIN_RETRY_INTERVAL);
        let leaves = find_living(shared, address)
            .is_none_or(|(now, phase)| now.instance != hop.instance || phase >= Phase::Leaving);
        if leaves {
            let message = format!("{address} takes no new flows");
            return Outcome { verdict: Verdict::Ran, message, revision: None };
        }
    }
    let message = format!("{address} did not confirm; ask again, a repeat is harmless");
    Outcome { verdict: Verdict::MayHaveRun, message, revision: None }
}

fn find_living(shared: &Shared, address: SocketAddr) -> Option<(Hop, Phase)> {
    let core = shared.core();
    let mut living = core.peer().membership().living();
    let rumor = living.find(|rumor| rumor.record.address == address)?;
    let hop = Hop { address, instance: rumor.record.instance };
    Some((hop, rumor.record.phase))
}
