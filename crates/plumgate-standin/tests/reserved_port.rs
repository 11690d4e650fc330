//! Tests of the ports that test fixtures keep.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};

use plumgate_standin::reserved_port::ReservedPort;
use socket2::{Domain, Socket, Type};

const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

// Guards against a port that is not usable by its owner, or that accepts connections while nothing listens.
#[test]
fn reserved_port_is_refused_until_its_owner_listens() {
    for reserved in [
        ReservedPort::new(SocketAddr::new(HOST, 0)),
        ReservedPort::fixed(HOST),
    ] {
        let reserved = reserved.expect("a port");
        for _ in 0..2 {
            let refused = TcpStream::connect(reserved.address()).expect_err("no listener");
            assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
            let listener = reserved.listen().expect("its own port");
            let client = TcpStream::connect(reserved.address()).expect("a connection");
            let (server, _) = listener.accept().expect("a connection");
            drop((client, server));
        }
    }
}

// Guards against a port that another user takes between its choice and its use.
#[test]
fn reserved_port_is_taken_by_nobody_else() {
    let reserved = ReservedPort::new(SocketAddr::new(HOST, 0)).expect("a port");
    let fixed = ReservedPort::fixed(HOST).expect("a port");
    for address in [reserved.address(), fixed.address()] {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let taken = socket.bind(&address.into()).expect_err("a reserved port");
        assert_eq!(taken.kind(), ErrorKind::AddrInUse);
    }
    // The ports that the system chooses for listeners and for outgoing connections.
    let mut listeners = Vec::new();
    let mut clients = Vec::new();
    for _ in 0..200 {
        let listener = TcpListener::bind(SocketAddr::new(HOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let client = TcpStream::connect(address).expect("a connection");
        for port in [
            address.port(),
            client.local_addr().expect("an address").port(),
        ] {
            assert_ne!(port, reserved.address().port());
            assert_ne!(port, fixed.address().port());
        }
        listeners.push(listener);
        clients.push(client);
    }
}
