//! Stand-in for a backend server: announces itself to its agent, serves requests and records them.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::body;

/// Request header with the class that the caller addresses.
pub const CLASS_HEADER: &str = "demo-class";
/// Response header with the name of the server.
pub const SERVER_HEADER: &str = "demo-server";

type Body = BoxBody<Bytes, Infallible>;

/// Settings of the stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the server in records.
    pub name: String,
    /// Class that it serves.
    pub class: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Address of the HTTP server of its agent.
    pub agent: SocketAddr,
    /// Maximum number of requests in progress.
    pub slots: u32,
    /// Maximum number of open flows.
    pub connections: u32,
    /// Time that a short request takes, in milliseconds.
    pub service_ms: u64,
}

/// Requests and feeds that a server recorded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// Name of the server.
    pub server: String,
    /// Class that it serves.
    pub class: String,
    /// Number of runs of each idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// Number of requests that started.
    pub requests: u64,
    /// Number of requests that were addressed to another class.
    pub wrong_desk: u64,
    /// Highest number of requests in progress at the same time.
    pub most_busy: u32,
    /// Number of requests in progress.
    pub busy: u32,
    /// Number of feeds that were opened.
    pub feeds: u64,
}

struct State {
    settings: Settings,
    records: Mutex<Records>,
}

impl State {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the stand-in until the process ends.
///
/// # Errors
/// When the settings cannot be read or the address cannot be bound.
pub fn run(file: &Path) -> std::io::Result<()> {
    let settings: Settings = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.address).await?;
    std::thread::spawn({
        let settings = settings.clone();
        move || announce(&settings)
    });
    let records = Records {
        server: settings.name.clone(),
        class: settings.class.clone(),
        ..Records::default()
    };
    let state = Arc::new(State { settings, records: Mutex::new(records) });
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(connection(Arc::clone(&state), stream));
    }
}

/// Announces the server to its agent; retries until the agent accepts the announcement.
fn announce(settings: &Settings) {
    let announcement = json!({
        "class": settings.class,
        "address": settings.address,
        "slots": settings.slots,
        "connections": settings.connections,
    });
    let url = format!("http://{}/announce", settings.agent);
    while ureq::post(&url).send_json(&announcement).is_err() {
        std::thread::sleep(Duration::from_millis(50));
    }
}

async fn connection(state: Arc<State>, stream: TcpStream) {
    let service = service_fn(move |request| answer(Arc::clone(&state), request));
    // An error only ends this connection, and the agent handles that.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path().to_owned();
    if path == "/records" {
        let records = serde_json::to_string(&*state.records()).unwrap_or_default();
        return Ok(text(StatusCode::OK, records));
    }
    if path == "/drain" {
        return Ok(drain(&state).await);
    }
    let _guard = RequestGuard::open(Arc::clone(&state), &request);
    let mut response = match (request.method(), path.as_str()) {
        (&Method::POST, "/filings") => accept_filing(&state, request).await,
        (&Method::GET, "/download") => download(parameter(&request, "parts")),
        (&Method::GET, "/feed") => {
            state.records().feeds += 1;
            feed(
                &state.settings.name,
                parameter(&request, "lines"),
                parameter(&request, "every_ms"),
            )
        }
        (&Method::GET, status) => {
            tokio::time::sleep(Duration::from_millis(state.settings.service_ms)).await;
            let number = status.strip_prefix("/status/").and_then(|text| text.parse().ok());
            number.map_or_else(not_found, |number| text(StatusCode::OK, body::status(number)))
        }
        _ => not_found(),
    };
    if let Ok(name) = state.settings.name.parse() {
        response.headers_mut().insert(SERVER_HEADER, name);
    }
    Ok(response)
}

/// Counts a request as in progress until the head of its response is ready.
struct RequestGuard {
    state: Arc<State>,
}

impl RequestGuard {
    fn open(state: Arc<State>, request: &Request<Incoming>) -> Self {
        {
            let mut records = state.records();
            records.requests += 1;
            records.busy += 1;
            records.most_busy = records.most_busy.max(records.busy);
            let addressed = request.headers().get(CLASS_HEADER).map(|value| value.as_bytes());
            if addressed != Some(state.settings.class.as_bytes()) {
                records.wrong_desk += 1;
            }
        }
        Self { state }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.records().busy -= 1;
    }
}

async fn drain(state: &State) -> Response<Body> {
    let url = format!("http://{}/drain", state.settings.agent);
    let asked = tokio::task::spawn_blocking(move || ureq::post(&url).send_empty().is_ok()).await;
    let status = if asked.unwrap_or(false) { StatusCode::OK } else { StatusCode::BAD_GATEWAY };
    text(status, String::new())
}

async fn accept_filing(state: &State, request: Request<Incoming>) -> Response<Body> {
    let key = request.headers().get("idempotency-key").and_then(|value| value.to_str().ok());
    let key = key.unwrap_or_default().to_owned();
    let Ok(collected) = request.into_body().collect().await else {
        return text(StatusCode::BAD_REQUEST, "the body broke off".to_owned());
    };
    *state.records().runs.entry(key).or_default() += 1;
    tokio::time::sleep(Duration::from_millis(state.settings.service_ms)).await;
    text(StatusCode::CREATED, blake3::hash(&collected.to_bytes()).to_hex().to_string())
}

fn download(parts: u64) -> Response<Body> {
    let length = parts * body::PART as u64;
    let mut response = Response::new(streamed(parts, 0, |index| body::part(index as usize)));
    response.headers_mut().insert(http::header::CONTENT_LENGTH, length.into());
    response
}

fn feed(name: &str, lines: u64, every_ms: u64) -> Response<Body> {
    let name = name.to_owned();
    Response::new(streamed(lines, every_ms, move |index| line(&name, index)))
}

/// Returns one line of a feed.
#[must_use]
pub fn line(server: &str, index: u64) -> Bytes {
    format!("{server} line {index}\n").into()
}

fn streamed(parts: u64, every_ms: u64, make: impl Fn(u64) -> Bytes + Send + 'static) -> Body {
    let (send, receive) = mpsc::channel::<Result<Frame<Bytes>, Infallible>>(2);
    tokio::spawn(async move {
        for index in 0..parts {
            if send.send(Ok(Frame::data(make(index)))).await.is_err() {
                return;
            }
            if every_ms > 0 {
                tokio::time::sleep(Duration::from_millis(every_ms)).await;
            }
        }
    });
    BodyExt::boxed(StreamBody::new(ReceiverStream::new(receive)))
}

fn parameter(request: &Request<Incoming>, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok());
    found.unwrap_or_default()
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(text)).boxed());
    *response.status_mut() = status;
    response
}

fn not_found() -> Response<Body> {
    text(StatusCode::NOT_FOUND, String::new())
}
