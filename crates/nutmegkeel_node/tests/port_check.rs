//! Checks of ports over real connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::port::{Finding, State};
use nutmegkeel_node::port_check::Checker;
use nutmegkeel_standin::loopback;
use socket2::SockRef;

const PORT: u16 = 23_118;
const ASKED_AT: Time = Time::from_millis(7);

/// Time limit for a result, far beyond the time after which a check is unanswered.
const RESULT_LIMIT: Duration = Duration::from_secs(10);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, loopback::block(), 253, number), PORT))
}

fn checker() -> (Checker, Receiver<(SocketAddr, Finding)>) {
    let (results, received) = channel();
    let checked = move |address, finding| {
        // The receiver may have ended with its test.
        let _ = results.send((address, finding));
    };
    (Checker::spawn(checked).expect("the thread starts"), received)
}

fn check(address: SocketAddr) -> Option<(SocketAddr, Finding)> {
    let (checker, results) = checker();
    checker.check(address, ASKED_AT);
    results.recv_timeout(RESULT_LIMIT).ok()
}

fn found(address: SocketAddr, state: State) -> Option<(SocketAddr, Finding)> {
    Some((address, Finding { state, asked_at: ASKED_AT }))
}

/// Guards against taking a process that does not run for one that has ended.
#[test]
fn the_port_of_a_process_that_accepts_nothing_is_open() {
    let address = address(1);
    let _listener = TcpListener::bind(address).expect("the address is free");

    let result = check(address);

    assert_eq!(result, found(address, State::Open));
}

#[test]
fn a_port_without_a_process_is_closed() {
    let address = address(2);

    let result = check(address);

    assert_eq!(result, found(address, State::Closed));
}

/// Guards against taking a host that does not answer for one that has ended the process.
#[test]
fn a_port_with_a_full_queue_of_connections_is_unanswered() {
    let address = address(3);
    let listener = TcpListener::bind(address).expect("the address is free");
    SockRef::from(&listener).listen(0).expect("the queue can be shortened");
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    let waiting: Vec<TcpStream> = (0..4).map_while(connect).collect();

    let result = check(address);

    assert!(waiting.len() < 4, "the queue is full");
    assert_eq!(result, found(address, State::Unanswered));
}

/// Guards against a check of one host that waits for another host.
#[test]
fn an_unanswered_check_delays_no_other() {
    let (slow, fast) = (address(4), address(5));
    let listener = TcpListener::bind(slow).expect("the address is free");
    SockRef::from(&listener).listen(0).expect("the queue can be shortened");
    let connect = |_| TcpStream::connect_timeout(&slow, Duration::from_millis(100)).ok();
    let _waiting: Vec<TcpStream> = (0..4).map_while(connect).collect();
    let (checker, results) = checker();

    checker.check(slow, ASKED_AT);
    checker.check(fast, ASKED_AT);
    let first = results.recv_timeout(RESULT_LIMIT).ok();
    let second = results.recv_timeout(RESULT_LIMIT).ok();

    assert_eq!(first, found(fast, State::Closed));
    assert_eq!(second, found(slow, State::Unanswered));
}
