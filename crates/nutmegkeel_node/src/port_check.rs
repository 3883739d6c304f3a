//! Checks whether processes have a port open, by attempts to connect to it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use log::info;
use metrics::counter;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::port::{Finding, State};

use crate::metric;

/// Time after which an attempt counts as unanswered.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of attempts at a time. Each uses one descriptor.
const MAX_ATTEMPTS: usize = 512;

/// Pause after a wait for results that failed or was interrupted.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Token of the waker; attempts have higher ones.
const WAKER: Token = Token(0);

/// Request for a check.
#[derive(Clone, Copy, Debug)]
struct Request {
    address: SocketAddr,
    asked_at: Time,
}

/// Starts port checks.
#[derive(Clone, Debug)]
pub struct Checker {
    requests: SyncSender<Request>,
    waker: Arc<Waker>,
}

impl Checker {
    /// Starts the thread that connects. `checked` is called with each outcome.
    ///
    /// # Errors
    /// When the thread cannot be started, or the system's readiness queue cannot be created.
    pub fn spawn(checked: impl Fn(SocketAddr, Finding) + Send + 'static) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let (requests, received) = sync_channel(MAX_ATTEMPTS);
        let worker = Worker { poll, requests: received, attempts: BTreeMap::new(), last: WAKER };
        thread::Builder::new().name("port-check".to_owned()).spawn(move || worker.run(&checked))?;
        Ok(Self { requests, waker })
    }

    /// Requests a check. One that exceeds the limit is left out and counted.
    pub fn check(&self, address: SocketAddr, asked_at: Time) {
        if self.requests.try_send(Request { address, asked_at }).is_err() {
            counter!(metric::PORT_CHECKS, "result" => "left_out").increment(1);
            return;
        }
        if let Err(error) = self.waker.wake() {
            info!(event = "port_check_delayed", fault:% = error; "port check starts late");
        }
    }
}

/// An attempt to connect that is in progress.
#[derive(Debug)]
struct Attempt {
    request: Request,
    stream: TcpStream,
    until: Instant,
}

/// State of the connecting thread.
struct Worker {
    poll: Poll,
    requests: Receiver<Request>,
    attempts: BTreeMap<Token, Attempt>,
    last: Token,
}

impl Worker {
    fn run(mut self, checked: &impl Fn(SocketAddr, Finding)) {
        let mut events = Events::with_capacity(MAX_ATTEMPTS);
        loop {
            let due = self.attempts.values().map(|attempt| attempt.until).min();
            let timeout = due.map(|due| due.saturating_duration_since(Instant::now()));
            if let Err(error) = self.poll.poll(&mut events, timeout) {
                info!(event = "port_check_delayed", fault:% = error; "wait for results failed");
                thread::sleep(RETRY_PAUSE);
            }
            let ready: Vec<Token> = events.iter().map(|event| event.token()).collect();
            let mut ended = self.start_requested();
            ended.extend(ready.into_iter().filter_map(|token| self.finish(token)));
            ended.extend(self.expire(Instant::now()));
            for (Request { address, asked_at }, state) in ended {
                counter!(metric::PORT_CHECKS, "result" => state.name()).increment(1);
                checked(address, Finding { state, asked_at });
            }
        }
    }

    /// Starts the requested attempts; returns those that ended at once.
    fn start_requested(&mut self) -> Vec<(Request, State)> {
        let mut ended = Vec::new();
        while self.attempts.len() < MAX_ATTEMPTS
            && let Ok(request) = self.requests.try_recv()
        {
            if let Err(error) = self.start(request) {
                ended.push((request, state_of(request.address, &error)));
            }
        }
        ended
    }

    fn start(&mut self, request: Request) -> io::Result<()> {
        let mut stream = TcpStream::connect(request.address)?;
        self.last = Token(self.last.0.wrapping_add(1).max(WAKER.0 + 1));
        self.poll.registry().register(&mut stream, self.last, Interest::WRITABLE)?;
        let until = Instant::now() + TIMEOUT;
        self.attempts.insert(self.last, Attempt { request, stream, until });
        Ok(())
    }

    /// Ends an attempt if its outcome is known.
    fn finish(&mut self, token: Token) -> Option<(Request, State)> {
        let attempt = self.attempts.get(&token)?;
        let request = attempt.request;
        let state = match attempt.stream.take_error() {
            Ok(Some(error)) | Err(error) => state_of(request.address, &error),
            Ok(None) if attempt.stream.peer_addr().is_ok() => State::Open,
            Ok(None) => return None,
        };
        self.attempts.remove(&token);
        Some((request, state))
    }

    fn expire(&mut self, now: Instant) -> Vec<(Request, State)> {
        let expired = self.attempts.extract_if(.., |_, attempt| attempt.until <= now);
        expired.map(|(_, attempt)| (attempt.request, State::Unanswered)).collect()
    }
}

fn state_of(address: SocketAddr, error: &io::Error) -> State {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        return State::Closed;
    }
    info!(event = "port_check_failed", address:% = address, fault:% = error;
        "attempt to connect failed");
    State::Unanswered
}
