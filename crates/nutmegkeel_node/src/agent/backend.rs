//! HTTP/1.1 client for the local backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use nutmegkeel_core::verdict::Verdict;
use tokio::net::TcpStream;

/// A request body on its way to the backend server.
pub(super) type Body = BoxBody<Bytes, std::io::Error>;

/// Maximum time for the backend server to accept a connection; it runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the backend server did not answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum Fault {
    /// It did not accept a connection; nothing was sent.
    #[error("backend server not reached: {0}")]
    NotReached(std::io::Error),
    /// The connection failed, or the answer was not valid HTTP/1.1, after something may have been
    /// sent.
    #[error("connection to the backend server failed: {0}")]
    Interrupted(hyper::Error),
}

impl Fault {
    pub(super) const fn verdict(&self) -> Verdict {
        match self {
            Self::NotReached(_) => Verdict::NotRun,
            Self::Interrupted(_) => Verdict::MayHaveRun,
        }
    }
}

/// An unused connection. Sending consumes it, so that no request is sent twice.
#[derive(Debug)]
pub(super) struct Ready {
    sender: SendRequest<Body>,
}

/// Connects to the backend server.
pub(super) async fn connect(address: SocketAddr) -> Result<Ready, Fault> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
        .map_err(Fault::NotReached)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|error| Fault::NotReached(std::io::Error::other(error)))?;
    tokio::spawn(connection);
    Ok(Ready { sender })
}

impl Ready {
    /// Sends the request and waits for the head of the response.
    pub(super) async fn send(
        mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, Fault> {
        self.sender.send_request(request).await.map_err(Fault::Interrupted)
    }
}
