//! One caller's flow: an HTTP/3 connection and its requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use metrics::{counter, gauge};
use nutmegkeel_core::agent::Event;
use nutmegkeel_core::lifecycle::Phase;
use quinn::{ConnectionError, Endpoint, Incoming};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::error::Elapsed;

use super::request;
use super::shared::Shared;
use super::transport::IDLE_TIMEOUT;
use crate::metric;

/// The HTTP/3 server side of a flow.
type Connection = h3::server::Connection<h3_quinn::Connection, Bytes>;

/// HTTP/3 error code for closing without an error (RFC 9114, section 8.1).
const NO_ERROR: quinn::VarInt = quinn::VarInt::from_u32(0x100);
/// Maximum duration of a handshake. A caller whose packets are lost repeats them at intervals that
/// grow to seconds, and waits as long as for any packet of an open flow.
const HANDSHAKE_TIMEOUT: Duration = IDLE_TIMEOUT;
/// Time that a handshake gets once its agent leaves. Without this limit, a caller that opens a flow
/// and then sends nothing would keep the agent from ending.
const LEAVING_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a caller has to react to GOAWAY before a leaving agent closes its idle flow.
const GOAWAY_GRACE: Duration = Duration::from_millis(500);

/// Accepts flows until the endpoint closes.
pub(super) async fn accept_all(shared: Arc<Shared>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        if shared.core().takes_new() {
            tokio::spawn(serve(Arc::clone(&shared), incoming));
        } else {
            // A refused caller learns at once that it gets no connection.
            counter!(metric::REFUSED, "class" => shared.class.to_string(), "reason" => "flows")
                .increment(1);
            if shared.unopened_lines.try_spend(shared.now()) {
                info!(event = "flow_refused", caller:% = incoming.remote_address(),
                    phase:? = shared.phase(); "flow refused");
            }
            incoming.refuse();
        }
    }
}

/// Counts a flow as open until it is dropped.
struct Guard {
    shared: Arc<Shared>,
}

impl Guard {
    fn open(shared: Arc<Shared>) -> Self {
        shared.handle(Event::FlowOpened);
        gauge!(metric::FLOWS, "class" => shared.class.to_string()).increment(1);
        Self { shared }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.handle(Event::FlowClosed);
        gauge!(metric::FLOWS, "class" => self.shared.class.to_string()).decrement(1);
    }
}

async fn serve(shared: Arc<Shared>, incoming: Incoming) {
    let _guard = Guard::open(Arc::clone(&shared));
    let caller = incoming.remote_address();
    match open(incoming, &mut shared.phases()).await {
        Ok((transport, connection)) => {
            answer_all(&shared, connection).await;
            transport.close(NO_ERROR, b"");
        }
        Err(fault) if shared.unopened_lines.try_spend(shared.now()) => {
            info!(event = "flow_not_opened", caller:% = caller, phase:? = shared.phase(),
                error:% = fault; "flow not opened");
        }
        Err(_) => {}
    }
}

/// Why a flow did not open.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("handshake: {0}")]
    Handshake(#[from] ConnectionError),
    #[error("handshake: not completed in time")]
    Timeout(#[from] Elapsed),
    #[error("handshake: not completed before the agent leaves")]
    Leaving,
    #[error("HTTP/3: {0}")]
    Http(#[from] h3::error::ConnectionError),
}

async fn open(
    incoming: Incoming,
    phases: &mut watch::Receiver<Phase>,
) -> Result<(quinn::Connection, Connection), Fault> {
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, incoming.accept()?);
    let until_leaving = async {
        wait_for_leaving(phases).await;
        tokio::time::sleep(LEAVING_HANDSHAKE_TIMEOUT).await;
    };
    let transport = tokio::select! {
        completed = handshake => completed??,
        () = until_leaving => return Err(Fault::Leaving),
    };
    let connection = h3_quinn::Connection::new(transport.clone());
    Ok((transport, h3::server::Connection::new(connection).await?))
}

/// Answers requests until the caller closes the flow, or until the agent leaves and none is in
/// progress.
///
/// Guards against a planned stop that cuts off a request: a leaving agent sends GOAWAY, accepts no
/// request that the caller sends after it, and keeps the flow until the last answer has been sent.
async fn answer_all(shared: &Arc<Shared>, mut connection: Connection) {
    let mut phases = shared.phases();
    let mut requests = JoinSet::new();
    let mut sent_goaway = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Ok(Some(resolver)) => {
                    requests.spawn(request::answer(Arc::clone(shared), resolver));
                }
                Ok(None) => break,
                Err(_) => {
                    // The flow is lost: frees the slots of its requests now.
                    requests.abort_all();
                    break;
                }
            },
            () = wait_for_leaving(&mut phases), if !sent_goaway => {
                sent_goaway = true;
                if connection.shutdown(0).await.is_err() {
                    break;
                }
            }
            () = wait_until_idle(&mut requests), if sent_goaway => break,
        }
    }
    while requests.join_next().await.is_some() {}
}

async fn wait_for_leaving(phases: &mut watch::Receiver<Phase>) {
    // The sender lives as long as the agent.
    let _ = phases.wait_for(|phase| *phase >= Phase::Leaving).await;
}

async fn wait_until_idle(requests: &mut JoinSet<()>) {
    while requests.join_next().await.is_some() {}
    tokio::time::sleep(GOAWAY_GRACE).await;
}
