//! Stand-in for the platform's key-value service: the subset of the etcd v3 JSON gateway in use.

use std::collections::BTreeMap;
use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Request, Response, Server};

/// Number of threads that answer calls.
const WORKERS: usize = 8;

/// Behaviour of the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Answers every call.
    #[default]
    Up,
    /// Closes every connection without an answer; no call takes effect.
    Down,
    /// Answers after a delay, in milliseconds.
    Slow(u64),
    /// Executes every call, but answers only reads; closes all other connections without an answer.
    LoseAnswers,
}

/// Number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Range requests.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Lease grants.
    pub grants: u64,
}

struct Stored {
    value: String,
    revision: u64,
    lease: Option<i64>,
}

#[derive(Default)]
struct State {
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: BTreeMap<i64, Instant>,
    revision: u64,
    mode: Mode,
    counts: Counts,
}

/// A running stand-in.
#[derive(Clone)]
pub struct Handle {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Handle {
    /// Returns the endpoint for clients.
    #[must_use]
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes the behaviour from the next call on.
    pub fn set_mode(&self, mode: Mode) {
        lock(&self.state).mode = mode;
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }
}

/// Starts the stand-in at `address`; with port 0 the operating system chooses the port.
///
/// # Errors
/// When the address cannot be bound.
pub fn spawn(address: SocketAddr) -> std::io::Result<Handle> {
    let server = Arc::new(Server::http(address).map_err(std::io::Error::other)?);
    let address = server.server_addr().to_ip().unwrap_or(address);
    let state = Arc::new(Mutex::new(State::default()));
    for _ in 0..WORKERS {
        let (server, state) = (Arc::clone(&server), Arc::clone(&state));
        thread::spawn(move || {
            for request in server.incoming_requests() {
                serve(&state, request);
            }
        });
    }
    Ok(Handle { state, address })
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(state: &Mutex<State>, mut request: Request) {
    let mut text = String::new();
    let _ = request.as_reader().read_to_string(&mut text);
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    let path = request.url().to_owned();
    if path == "/control" {
        if let Ok(mode) = serde_json::from_value(body) {
            lock(state).mode = mode;
        }
        return answer(request, &json!({}));
    }
    if path == "/counts" {
        let counts = lock(state).counts;
        return answer(request, &serde_json::to_value(counts).unwrap_or_default());
    }
    let mode = lock(state).mode;
    if let Mode::Slow(millis) = mode {
        thread::sleep(Duration::from_millis(millis));
    }
    if mode == Mode::Down {
        return drop_connection(request);
    }
    let answered = call(&mut lock(state), &path, &body);
    if mode == Mode::LoseAnswers && path != "/v3/kv/range" {
        return drop_connection(request);
    }
    answer(request, &answered);
}

/// Closes the connection without an answer.
fn drop_connection(request: Request) {
    drop(request.into_writer());
}

fn answer(request: Request, body: &Value) {
    let text = body.to_string().into_bytes();
    let length = text.len();
    let response = Response::new(200.into(), Vec::new(), Cursor::new(text), Some(length), None);
    let _ = request.respond(response);
}

fn call(state: &mut State, path: &str, body: &Value) -> Value {
    state.remove_expired();
    match path {
        "/v3/kv/range" => state.range(body),
        "/v3/kv/txn" => state.txn(body),
        "/v3/lease/grant" => state.grant(body),
        _ => json!({"error": "not in the subset"}),
    }
}

impl State {
    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }

    fn range(&mut self, body: &Value) -> Value {
        self.counts.reads += 1;
        let from = bytes(&body["key"]);
        let found: Vec<Value> = match body.get("range_end") {
            Some(end) => self.keys.range(from..bytes(end)).map(pair).collect(),
            None => self.keys.get_key_value(&from).into_iter().map(pair).collect(),
        };
        json!({"header": self.header(), "count": found.len().to_string(), "kvs": found})
    }

    fn txn(&mut self, body: &Value) -> Value {
        self.counts.writes += 1;
        let holds = body["compare"].as_array().into_iter().flatten().all(|compare| {
            let expected = compare["mod_revision"].as_str().unwrap_or("0");
            let held = self.keys.get(&bytes(&compare["key"]));
            held.map_or(0, |stored| stored.revision).to_string() == expected
        });
        if holds {
            self.revision += 1;
            for operation in body["success"].as_array().into_iter().flatten() {
                self.put(&operation["request_put"]);
            }
        }
        json!({"header": self.header(), "succeeded": holds})
    }

    fn put(&mut self, put: &Value) {
        let lease = put["lease"].as_str().and_then(|text| text.parse().ok());
        let value = put["value"].as_str().unwrap_or_default().to_owned();
        let stored = Stored { value, revision: self.revision, lease };
        self.keys.insert(bytes(&put["key"]), stored);
    }

    fn grant(&mut self, body: &Value) -> Value {
        self.counts.grants += 1;
        let seconds = body["TTL"].as_str().and_then(|text| text.parse().ok()).unwrap_or(1);
        let id = i64::try_from(self.leases.len()).unwrap_or_default() + 1;
        self.leases.insert(id, Instant::now() + Duration::from_secs(seconds));
        json!({"header": self.header(), "ID": id.to_string(), "TTL": seconds.to_string()})
    }

    fn remove_expired(&mut self) {
        let now = Instant::now();
        let leases = &self.leases;
        let is_valid = |lease: i64| leases.get(&lease).is_some_and(|end| *end > now);
        self.keys.retain(|_, stored| stored.lease.is_none_or(is_valid));
    }
}

fn bytes(value: &Value) -> Vec<u8> {
    value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default()
}

fn pair((key, stored): (&Vec<u8>, &Stored)) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": stored.value,
        "mod_revision": stored.revision.to_string(),
    })
}
