//! Handles one request: admission, a claim if it has a key, the call to the backend server, the
//! answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use h3::error::Code;
use h3::server::RequestStream;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version};
use http_body::Frame;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use nutmegkeel_core::admission::{Id, Reason};
use nutmegkeel_core::agent::Event;
use nutmegkeel_core::claim;
use nutmegkeel_core::class::{MAX_DEADLINE_MS, Target};
use nutmegkeel_core::verdict::Verdict;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;

use super::backend::{self, Body, Ready};
use super::shared::{Reply, Shared};
use crate::metric;

type Resolver = h3::server::RequestResolver<h3_quinn::Connection, Bytes>;
type Answering = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;
type Receiving = RequestStream<h3_quinn::RecvStream, Bytes>;

/// Header that reports to the caller whether its request may have run.
pub(super) const VERDICT: &str = "nutmegkeel-verdict";
/// Header with the caller's key of a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the caller's deadline, in milliseconds.
const DEADLINE: &str = "nutmegkeel-deadline-ms";
/// Maximum number of parts of a request body that wait for the backend server; bounds memory per
/// flow.
const BODY_CHANNEL_CAPACITY: usize = 4;
/// Maximum length of a short answer, in bytes. A longer answer, or one of unknown length, releases
/// its slot when its head has arrived: from then on it uses a connection, but none of the backend
/// server's capacity for requests.
const MAX_SHORT_ANSWER_BYTES: u64 = 1024 * 1024;
/// Time after which to try again after a fault that may be over soon, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// An error response from the agent itself.
struct Refusal {
    status: StatusCode,
    verdict: Verdict,
    after_ms: Option<u64>,
    text: &'static str,
}

impl Refusal {
    const fn not_run(text: &'static str, after_ms: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, verdict: Verdict::NotRun, after_ms: Some(after_ms), text }
    }

    const fn may_have_run(status: StatusCode, text: &'static str) -> Self {
        Self { status, verdict: Verdict::MayHaveRun, after_ms: None, text }
    }

    const fn of(reason: Reason, after_ms: u64) -> Self {
        Self::not_run(
            match reason {
                Reason::Busy => "busy: the request could not finish in time\n",
                Reason::Late => "late: the deadline passed while the request waited\n",
                Reason::Unavailable => "unavailable: the backend server is not serving\n",
            },
            after_ms,
        )
    }
}

/// Answers one request.
pub(super) async fn answer(shared: Arc<Shared>, resolver: Resolver) {
    let arrived = Instant::now();
    let Ok((head, stream)) = resolver.resolve_request().await else {
        return;
    };
    let (mut answering, mut receiving) = stream.split();
    let mut admission = Admission::open(Arc::clone(&shared), &head);
    match admission.prepare(&head).await {
        Ok(ready) if has_no_body(&head) => {
            let sent = send_idempotent(&shared, &head, ready).await;
            forward_answer(&shared, admission, sent, &mut answering, arrived).await;
            end_receiving(&mut receiving);
        }
        Ok(ready) => {
            let request = to_backend(&shared, &head, stream_body(receiving));
            let sent = ready.send(request).await;
            forward_answer(&shared, admission, sent, &mut answering, arrived).await;
        }
        Err(refusal) => {
            refuse(&shared, &mut answering, refusal, arrived).await;
            end_receiving(&mut receiving);
        }
    }
}

/// Signals to the caller that the rest of a request is not needed (RFC 9114, section 4.1).
///
/// Guards against an answer that looks like a failure: dropping the stream would stop it with code
/// 0, and a caller that is still sending its request would take this for a reset.
fn end_receiving(receiving: &mut Receiving) {
    receiving.stop_sending(Code::H3_NO_ERROR);
}

/// Sends a request that may run twice. Sends it once more if the backend server failed before it
/// answered and the retry budget allows it.
async fn send_idempotent(
    shared: &Shared,
    head: &Request<()>,
    ready: Ready,
) -> Result<Response<Incoming>, backend::Fault> {
    let request = || to_backend(shared, head, Empty::new().map_err(never).boxed());
    let first = ready.send(request()).await;
    if first.is_ok() || !shared.core().spend_retry() {
        return first;
    }
    backend::connect(shared.backend).await?.send(request()).await
}

/// Forwards the backend server's answer, or sends an error response if there is none.
async fn forward_answer(
    shared: &Shared,
    mut admission: Admission,
    sent: Result<Response<Incoming>, backend::Fault>,
    answering: &mut Answering,
    arrived: Instant,
) {
    match sent {
        Ok(response) => {
            record(shared, Verdict::Ran, arrived);
            admission.stream_answer(response, answering).await;
        }
        Err(fault) => {
            admission.shed = true;
            refuse(shared, answering, refusal_for(&fault), arrived).await;
        }
    }
}

/// Progress of a request in the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The request waits for a slot.
    Waiting,
    /// The request holds a slot.
    Started,
    /// The core no longer counts the request.
    Over,
}

/// A request that the core counts until this value is dropped.
struct Admission {
    shared: Arc<Shared>,
    id: Id,
    reply: Option<oneshot::Receiver<Reply>>,
    stage: Stage,
    shed: bool,
}

impl Admission {
    fn open(shared: Arc<Shared>, head: &Request<()>) -> Self {
        let id = shared.next_id();
        let reply = shared.wait(id);
        let allowed = deadline_ms(&shared, head.headers());
        shared.handle(Event::Request(id, shared.now().after(allowed)));
        Self { shared, id, reply: Some(reply), stage: Stage::Waiting, shed: false }
    }

    /// Waits for a slot, connects, and claims the key if there is one.
    ///
    /// Connects before it claims, so that a claim is made only for a request that can be sent at
    /// once.
    async fn prepare(&mut self, head: &Request<()>) -> Result<Ready, Refusal> {
        self.start().await?;
        let ready = match backend::connect(self.shared.backend).await {
            Ok(ready) => ready,
            Err(_) => {
                self.shed = true;
                return Err(Refusal::not_run("the backend server is not there\n", RETRY_AFTER_MS));
            }
        };
        if let Some(key) = key_to_claim(head) {
            self.claim(&key).await?;
        }
        Ok(ready)
    }

    async fn start(&mut self) -> Result<(), Refusal> {
        let began = Instant::now();
        match self.receive_reply().await {
            Reply::Start => {
                self.stage = Stage::Started;
                histogram!(metric::WAIT_SECONDS, "class" => self.shared.class.to_string())
                    .record(began.elapsed().as_secs_f64());
                Ok(())
            }
            Reply::Refuse(reason, after_ms) => {
                self.stage = Stage::Over;
                Err(Refusal::of(reason, after_ms))
            }
            Reply::Run | Reply::Unclaimed | Reply::ClaimedBefore => {
                Err(Refusal::not_run("lost\n", RETRY_AFTER_MS))
            }
        }
    }

    async fn claim(&mut self, key: &[u8]) -> Result<(), Refusal> {
        self.reply = Some(self.shared.wait(self.id));
        let name = claim::Name::of(&self.shared.class, key);
        self.shared.handle(Event::Claim(self.id, name));
        match self.receive_reply().await {
            Reply::Run => Ok(()),
            Reply::ClaimedBefore => Err(Refusal::may_have_run(
                StatusCode::CONFLICT,
                "a request with this Idempotency-Key was sent before and may have run\n",
            )),
            Reply::Unclaimed | Reply::Start | Reply::Refuse(..) => {
                Err(Refusal::not_run("the key could not be claimed now\n", RETRY_AFTER_MS))
            }
        }
    }

    async fn receive_reply(&mut self) -> Reply {
        let unavailable = Reply::Refuse(Reason::Unavailable, RETRY_AFTER_MS);
        match self.reply.take() {
            Some(reply) => reply.await.unwrap_or(unavailable),
            None => unavailable,
        }
    }

    /// Streams the backend server's answer to the caller, as fast as the caller reads it.
    async fn stream_answer(mut self, response: Response<Incoming>, answering: &mut Answering) {
        let (mut head, mut body) = response.into_parts();
        self.shed = head.status == StatusCode::SERVICE_UNAVAILABLE;
        if !is_short(&head.headers) {
            self.finish();
        }
        remove_hop_headers(&mut head.headers);
        head.headers.insert(VERDICT, HeaderValue::from_static(Verdict::Ran.as_str()));
        head.version = Version::HTTP_3;
        if answering.send_response(Response::from_parts(head, ())).await.is_err() {
            return;
        }
        while let Some(part) = body.frame().await {
            let Ok(part) = part else {
                // Resets the stream, so that the caller cannot take the received part for the
                // complete answer.
                answering.stop_stream(Code::H3_INTERNAL_ERROR);
                return;
            };
            if let Ok(data) = part.into_data()
                && answering.send_data(data).await.is_err()
            {
                return;
            }
        }
        self.finish();
        // The caller may have disconnected. The backend server has done its work in either case.
        let _ = answering.finish().await;
    }

    fn finish(&mut self) {
        if self.stage == Stage::Started {
            self.stage = Stage::Over;
            self.shared.handle(Event::Finished(self.id, self.shed));
        }
    }
}

impl Drop for Admission {
    /// Releases the slot or the place in the queue, also when the caller disconnected and the task
    /// that owns this value was dropped.
    fn drop(&mut self) {
        self.shared.stop_waiting(self.id);
        match self.stage {
            Stage::Waiting => self.shared.handle(Event::Cancelled(self.id)),
            Stage::Started => self.finish(),
            Stage::Over => {}
        }
    }
}

/// Returns how long the request may take, in milliseconds: what the caller states, or the target of
/// the class.
fn deadline_ms(shared: &Shared, headers: &HeaderMap) -> u64 {
    let stated = headers.get(DEADLINE).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let allowed = stated.unwrap_or_else(|| {
        let core = shared.core();
        let target = core.peer().configuration().target(&shared.class);
        target.map_or_else(|| Target::default().deadline_ms, |target| target.deadline_ms)
    });
    allowed.min(MAX_DEADLINE_MS)
}

/// Returns the key of a request that must not run twice. Idempotent methods need no claim (RFC
/// 9110, section 9.2.2).
fn key_to_claim(head: &Request<()>) -> Option<Vec<u8>> {
    if matches!(*head.method(), Method::GET | Method::HEAD | Method::OPTIONS) {
        return None;
    }
    head.headers().get(IDEMPOTENCY_KEY).map(|key| key.as_bytes().to_vec())
}

fn is_short(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    length.is_some_and(|length: u64| length <= MAX_SHORT_ANSWER_BYTES)
}

/// Removes the headers that apply to a single connection (RFC 9110, section 7.6.1).
fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in [CONNECTION, TRANSFER_ENCODING] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

fn has_no_body(head: &Request<()>) -> bool {
    matches!(*head.method(), Method::GET | Method::HEAD)
}

fn never(never: Infallible) -> std::io::Error {
    match never {}
}

fn to_backend(shared: &Shared, head: &Request<()>, body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method().clone();
    let path = head.uri().path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = head.headers().clone();
    remove_hop_headers(request.headers_mut());
    let host = head.uri().authority().map_or(&*shared.class, |authority| authority.as_str());
    if let Ok(host) = HeaderValue::from_str(host) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Streams the request's body as it arrives. A slow backend server slows the caller down.
fn stream_body(mut receiving: Receiving) -> Body {
    let (parts, received) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    tokio::spawn(async move {
        loop {
            let part = match receiving.recv_data().await {
                Ok(Some(mut data)) => Ok(Frame::data(data.copy_to_bytes(data.remaining()))),
                Ok(None) => return,
                // Aborts the request, so that the backend server cannot take the received part for
                // all of it.
                Err(error) => Err(std::io::Error::other(error.to_string())),
            };
            let ends = part.is_err();
            if parts.send(part).await.is_err() || ends {
                return;
            }
        }
    });
    BodyExt::boxed(StreamBody::new(ReceiverStream::new(received)))
}

fn refusal_for(fault: &backend::Fault) -> Refusal {
    match fault.verdict() {
        Verdict::NotRun => Refusal::not_run("the backend server is not there\n", RETRY_AFTER_MS),
        Verdict::MayHaveRun | Verdict::Ran => Refusal::may_have_run(
            StatusCode::BAD_GATEWAY,
            "the backend server broke off; the request may have run\n",
        ),
    }
}

async fn refuse(shared: &Shared, answering: &mut Answering, refusal: Refusal, arrived: Instant) {
    record(shared, refusal.verdict, arrived);
    let mut response = Response::new(());
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    headers.insert(VERDICT, HeaderValue::from_static(refusal.verdict.as_str()));
    if let Some(after_ms) = refusal.after_ms {
        let seconds = Duration::from_millis(after_ms).as_secs_f64().ceil();
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.0}")) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    // The caller may have disconnected, in which case nobody waits for this answer.
    if answering.send_response(response).await.is_ok() {
        let _ = answering.send_data(Bytes::from_static(refusal.text.as_bytes())).await;
        let _ = answering.finish().await;
    }
}

fn record(shared: &Shared, verdict: Verdict, arrived: Instant) {
    let class = shared.class.to_string();
    counter!(metric::REQUESTS, "class" => class.clone(), "verdict" => verdict.as_str())
        .increment(1);
    histogram!(metric::ANSWER_SECONDS, "class" => class).record(arrived.elapsed().as_secs_f64());
}
