//! Tests of the search for free ports.

use {
    fernring_standins::ports::free_addresses,
    std::{
        collections::HashSet,
        io::ErrorKind,
        net::{SocketAddr, TcpListener},
        time::{Duration, Instant},
    },
    tokio::net::TcpSocket,
};

/// Ports of one search: three for each node of a large test.
const PORT_COUNT: usize = 180;

/// Nodes of two tests that started together got the same ports, and those of one of them failed to start.
#[test]
fn port_is_found_by_two_searches() {
    let addresses: Vec<_> = (0..3).flat_map(|_| free_addresses(PORT_COUNT).unwrap()).collect();
    let different: HashSet<_> = addresses.iter().collect();
    assert_eq!(different.len(), addresses.len());
}

/// Longest time for which a child process that another test starts has a copy of a closed listener.
const COPY_TIME: Duration = Duration::from_secs(5);

/// Listens at an address for a moment, as soon as no child process has a copy of the last listener.
fn listen(address: SocketAddr) {
    let end = Instant::now() + COPY_TIME;
    while let Err(error) = TcpListener::bind(address) {
        assert!(error.kind() == ErrorKind::AddrInUse && Instant::now() < end, "{error}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Another program could take a port before its node listened there, or while the node restarted.
#[test]
fn found_port_is_taken_while_no_node_listens() {
    for address in free_addresses(PORT_COUNT).unwrap() {
        for _ in 0..2 {
            let taken = TcpSocket::new_v4().unwrap().bind(address);
            assert_eq!(taken.unwrap_err().kind(), ErrorKind::AddrInUse);
            listen(address);
        }
    }
}
