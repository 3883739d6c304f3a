//! HTTP server of a process: health, metrics, and announcements to the agent.

use std::io::{Cursor, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tiny_http::{Method, Request, Response, Server};

/// Maximum length of a request body that is read, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Time after which a connection with unacknowledged data is closed.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of new connections that may wait. While this process is suspended, each balancer adds up
/// to seven, and a full queue would look as if the host were down.
const QUEUE_CAPACITY: i32 = 1_024;

/// A response: status and body.
#[derive(Debug)]
pub(crate) struct Answer {
    status: u16,
    body: Vec<u8>,
}

impl Answer {
    pub(crate) fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into() }
    }
}

/// A request as the handler sees it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) post: bool,
    pub(crate) path: String,
    pub(crate) body: Vec<u8>,
}

/// Handler that returns the response to a call.
pub(crate) type Handler = Box<dyn Fn(&Call) -> Answer + Send>;

/// A running server; stops when dropped.
pub(crate) struct Handle {
    server: Arc<Server>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

/// Serves calls at `address` on a separate thread.
///
/// # Errors
/// When the address cannot be bound.
pub(crate) fn spawn(address: SocketAddr, handler: Handler) -> std::io::Result<Handle> {
    let listener = TcpListener::bind(address)?;
    // Limits how long a client that does not read its answers can block the only serving thread.
    // Accepted connections inherit the option.
    SockRef::from(&listener).set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    SockRef::from(&listener).listen(QUEUE_CAPACITY)?;
    let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
    let server = Arc::new(server);
    let serving = Arc::clone(&server);
    std::thread::Builder::new().name("web".to_owned()).spawn(move || {
        for request in serving.incoming_requests() {
            serve(request, &handler);
        }
    })?;
    Ok(Handle { server })
}

fn serve(mut request: Request, handler: &Handler) {
    let mut body = Vec::new();
    let read = request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body);
    let answer = match read {
        Ok(_) => {
            let post = *request.method() == Method::Post;
            handler(&Call { post, path: request.url().to_owned(), body })
        }
        Err(error) => Answer::new(400, format!("body cannot be read: {error}\n")),
    };
    let length = answer.body.len();
    let data = Cursor::new(answer.body);
    let response = Response::new(answer.status.into(), Vec::new(), data, Some(length), None);
    // The client may have disconnected already, which is no error.
    let _ = request.respond(response);
}
