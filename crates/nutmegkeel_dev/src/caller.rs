//! HTTP/3 caller over QUIC that hashes every answer so that its body can be verified.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use h3::client::SendRequest;
use h3::error::{Code, StreamError};
use http::{Method, Request, StatusCode};
use quinn::crypto::rustls::QuicClientConfig;
use rustls::pki_types::CertificateDer;

use crate::body::Hasher;
use crate::standin::backend::{CLASS_HEADER, SERVER_HEADER};

/// Name in the certificate of the agents.
pub const SERVER_NAME: &str = "nutmegkeel.test";
/// Length from which on no further part of a body is kept as text, in bytes.
const MAX_TEXT: usize = 4_096;
/// Time limit for opening a flow.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without received data after which an answer has failed.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a call that got no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The flow could not be opened; nothing was sent.
    #[error("flow not opened: {0}")]
    NotOpened(String),
    /// The server closed the flow or rejected the request before it accepted it; nothing ran.
    #[error("flow is closing, the request was not accepted")]
    NotAccepted,
    /// The flow or the answer was interrupted.
    #[error("broken: {0}")]
    Broken(String),
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Class that the request addresses.
    pub class: String,
    /// Idempotency key, if the request must run at most once.
    pub key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Verdict of the system on whether the request may have run.
    pub verdict: String,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Server that answered.
    pub server: String,
    /// Hash of the body.
    pub hash: String,
    /// Length of the body.
    pub length: u64,
    /// The body if it is short, otherwise its beginning.
    pub text: String,
    /// Time until the head of the answer arrived.
    pub head_after: Duration,
    /// Longest time without received data.
    pub longest_silence: Duration,
}

/// Endpoint of a caller: one UDP port with any number of flows.
#[derive(Clone, Debug)]
pub struct Caller {
    endpoint: quinn::Endpoint,
}

/// An open flow.
pub struct Flow {
    connection: quinn::Connection,
    requests: SendRequest<h3_quinn::OpenStreams, Bytes>,
}

impl Caller {
    /// Creates a caller that trusts this certificate.
    ///
    /// # Errors
    /// When the certificate is invalid or no port is free.
    pub fn open(certificate: CertificateDer<'static>) -> std::io::Result<Self> {
        let mut roots = rustls::RootCertStore::empty();
        roots.add(certificate).map_err(std::io::Error::other)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(std::io::Error::other)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let crypto = QuicClientConfig::try_from(tls).map_err(std::io::Error::other)?;
        let mut endpoint = quinn::Endpoint::client((Ipv4Addr::LOCALHOST, 0).into())?;
        endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(crypto)));
        Ok(Self { endpoint })
    }

    /// Opens a flow.
    ///
    /// # Errors
    /// When no server accepts it in time.
    pub async fn flow(&self, address: SocketAddr) -> Result<Flow, Fault> {
        let connecting = self
            .endpoint
            .connect(address, SERVER_NAME)
            .map_err(|error| Fault::NotOpened(error.to_string()))?;
        let began = Instant::now();
        let connection = tokio::time::timeout(OPEN_TIMEOUT, connecting)
            .await
            .map_err(|_| Fault::NotOpened("no answer".to_owned()))?
            .map_err(|error| not_opened("handshake", began, &error))?;
        let opened = h3::client::new(h3_quinn::Connection::new(connection.clone())).await;
        let (mut driver, requests) = opened.map_err(|error| not_opened("HTTP/3", began, &error))?;
        tokio::spawn(async move { std::future::poll_fn(|cx| driver.poll_close(cx)).await });
        Ok(Flow { connection, requests })
    }
}

impl Flow {
    /// Sends a request and receives its complete answer.
    ///
    /// # Errors
    /// When the answer is incomplete; [`Fault::NotAccepted`] when the request was certainly not
    /// accepted.
    pub async fn call(&mut self, call: &Call) -> Result<Answer, Fault> {
        let began = Instant::now();
        let request = request(call).map_err(|error| Fault::Broken(error.to_string()))?;
        let mut stream = self.requests.send_request(request).await.map_err(fault)?;
        if !call.body.is_empty() {
            ignore_stop_sending(stream.send_data(call.body.clone()).await)?;
        }
        ignore_stop_sending(stream.finish().await)?;
        let head = with_timeout(stream.recv_response()).await?;
        let mut answer = Answer {
            status: head.status(),
            verdict: header(&head, "nutmegkeel-verdict"),
            retry_after: header(&head, "retry-after").parse().ok().map(Duration::from_secs),
            server: header(&head, SERVER_HEADER),
            hash: String::new(),
            length: 0,
            text: String::new(),
            head_after: began.elapsed(),
            longest_silence: began.elapsed(),
        };
        let mut hasher = Hasher::new();
        let mut last = Instant::now();
        while let Some(mut part) = with_timeout(stream.recv_data()).await? {
            answer.longest_silence = answer.longest_silence.max(last.elapsed());
            last = Instant::now();
            let part = part.copy_to_bytes(part.remaining());
            hasher.update(&part);
            answer.length += part.len() as u64;
            if answer.text.len() < MAX_TEXT {
                answer.text.push_str(&String::from_utf8_lossy(&part));
            }
        }
        answer.hash = hasher.finalize().to_hex().to_string();
        Ok(answer)
    }

    /// Waits until the flow has ended for any reason.
    pub async fn ended(&self) {
        self.connection.closed().await;
    }

    /// Ends the flow.
    pub fn close(self) {
        self.connection.close(0x100_u32.into(), b"");
    }
}

/// Describes why a flow was not opened: in which stage, after which time, and with which error and
/// code.
fn not_opened(
    stage: &str,
    began: Instant,
    error: &(impl std::fmt::Display + std::fmt::Debug),
) -> Fault {
    let after_ms = began.elapsed().as_millis();
    Fault::NotOpened(format!("{stage} failed after {after_ms} ms: {error} ({error:?})"))
}

/// Ignores the error of a server that stops reading a request early, since it still answers
/// (RFC 9114, section 4.1).
fn ignore_stop_sending(sent: Result<(), StreamError>) -> Result<(), Fault> {
    match sent {
        Err(StreamError::RemoteTerminate { code, .. }) if code == Code::H3_NO_ERROR => Ok(()),
        other => other.map_err(fault),
    }
}

async fn with_timeout<T>(future: impl Future<Output = Result<T, StreamError>>) -> Result<T, Fault> {
    match tokio::time::timeout(RECEIVE_TIMEOUT, future).await {
        Ok(result) => result.map_err(fault),
        Err(_) => Err(Fault::Broken("no data within the time limit".to_owned())),
    }
}

fn request(call: &Call) -> Result<Request<()>, http::Error> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("https://{SERVER_NAME}{}", call.path))
        .header(CLASS_HEADER, &call.class);
    if let Some(key) = &call.key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(())
}

fn header(head: &http::Response<()>, name: &str) -> String {
    let value = head.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Classifies an error by whether the server certainly did not accept the request (RFC 9114,
/// section 4.1.1).
#[allow(clippy::needless_pass_by_value)]
fn fault(error: StreamError) -> Fault {
    match error {
        StreamError::RemoteTerminate { code, .. } if code == Code::H3_REQUEST_REJECTED => {
            Fault::NotAccepted
        }
        StreamError::RemoteClosing { .. } => Fault::NotAccepted,
        ref ended if ended.is_h3_no_error() => Fault::NotAccepted,
        other => Fault::Broken(other.to_string()),
    }
}
