//! Fetches configurations from other processes over real connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use flate2::Compression;
use flate2::write::GzEncoder;
use nutmegkeel_core::l4::fetch::Holder;
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_node::l4::configuration::{Fetcher, Source};
use nutmegkeel_standin::loopback;

const PORT: u16 = 23_117;

/// Maximum duration of a fetch while a call to another holder hangs, including the time until its
/// turn among other processes that fetch.
const MAX_FETCH_TIME: Duration = Duration::from_millis(300);

/// Returns the address of a process of the test.
fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, loopback::block(), 254, number), PORT)
}

fn holder(number: u8, version: u64) -> Holder {
    Holder { address: *address(number).ip(), version }
}

/// Accepts connections and never answers on them.
fn spawn_unresponsive_holder(number: u8) {
    let listener = TcpListener::bind(address(number)).expect("the address is free");
    thread::spawn(move || {
        let accepted: Vec<_> = listener.incoming().collect();
        drop(accepted);
    });
}

/// Returns a gzip-compressed configuration of this version, the body of an answer.
fn packed_configuration(version: u64) -> Vec<u8> {
    let text = format!(r#"{{"version": {version}, "routes": [], "services": [], "limits": {{}}}}"#);
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text.as_bytes()).expect("writing into memory succeeds");
    encoder.finish().expect("writing into memory succeeds")
}

/// Reads one call and writes an HTTP response with this body.
fn answer_call(stream: &mut TcpStream, body: &[u8]) {
    let mut call = [0; 1_024];
    let _ = stream.read(&mut call);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).expect("the response can be written");
}

/// Serves a configuration of this version.
fn spawn_holder(number: u8, version: u64) {
    let listener = TcpListener::bind(address(number)).expect("the address is free");
    thread::spawn(move || {
        for stream in listener.incoming() {
            answer_call(&mut stream.expect("a connection"), &packed_configuration(version));
        }
    });
}

/// Serves a configuration of the current `version` to the first call on each connection, and leaves
/// later calls on it unanswered.
fn spawn_holder_once_per_connection(number: u8, version: &Arc<AtomicU64>) {
    let listener = TcpListener::bind(address(number)).expect("the address is free");
    let version = Arc::clone(version);
    thread::spawn(move || {
        // Keeps the connections open: a closed one would not be reused.
        let mut open_streams = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            answer_call(&mut stream, &packed_configuration(version.load(Ordering::SeqCst)));
            open_streams.push(stream);
        }
    });
}

fn spawn_fetcher(number: u8) -> (Fetcher, Receiver<Table>) {
    let (sender, tables) = channel();
    let fetcher = Fetcher::spawn(address(number), Source::default(), move |table| {
        sender.send(table).expect("the receiver exists");
    });
    (fetcher.expect("a thread starts"), tables)
}

/// Guards against an old configuration that stays in force until the call timeout: all processes of
/// a failure domain fetch from one delegate, which accepts a connection and never answers. The
/// fetch must go to another holder as soon as the answer is late.
#[test]
fn unresponsive_holder_does_not_delay_fetch_from_another() {
    spawn_unresponsive_holder(1);
    let (fetcher, tables) = spawn_fetcher(3);

    let began = Instant::now();
    fetcher.fetch(holder(1, 7));
    thread::sleep(Duration::from_millis(50));
    spawn_holder(2, 7);
    fetcher.fetch(holder(2, 7));
    let table = tables.recv_timeout(Duration::from_secs(3)).expect("a configuration is fetched");

    assert_eq!(table.version, 7);
    assert!(began.elapsed() < MAX_FETCH_TIME, "it took {:?}", began.elapsed());
}

/// Two delegates announce the same configuration: it is fetched once and applied once.
#[test]
fn same_version_is_fetched_once() {
    spawn_holder(11, 7);
    spawn_holder(12, 7);
    let (fetcher, tables) = spawn_fetcher(13);

    fetcher.fetch(holder(11, 7));
    fetcher.fetch(holder(12, 7));
    fetcher.fetch(holder(11, 7));

    let first = tables.recv_timeout(Duration::from_secs(3)).expect("a configuration is fetched");
    assert_eq!(first.version, 7);
    assert!(
        tables.recv_timeout(Duration::from_millis(500)).is_err(),
        "the configuration was fetched twice"
    );
}

/// Guards against a fetch that is delayed by the call timeout because it reuses connections on
/// which the holders no longer answer.
#[test]
fn connections_are_not_reused() {
    let version = Arc::new(AtomicU64::new(7));
    spawn_holder_once_per_connection(21, &version);
    spawn_holder_once_per_connection(22, &version);
    let (fetcher, tables) = spawn_fetcher(23);
    for (number, earlier_version) in [(21, 7), (22, 8)] {
        version.store(earlier_version, Ordering::SeqCst);
        fetcher.fetch(holder(number, earlier_version));
        let table =
            tables.recv_timeout(Duration::from_secs(3)).expect("a configuration is fetched");
        assert_eq!(table.version, earlier_version);
    }
    version.store(9, Ordering::SeqCst);

    let began = Instant::now();
    fetcher.fetch(holder(21, 9));
    fetcher.fetch(holder(22, 9));
    let table = tables.recv_timeout(Duration::from_secs(3)).expect("a configuration is fetched");

    assert_eq!(table.version, 9);
    assert!(began.elapsed() < MAX_FETCH_TIME, "it took {:?}", began.elapsed());
}
