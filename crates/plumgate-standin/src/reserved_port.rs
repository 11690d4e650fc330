//! Ports that stay reserved for their user while nothing listens on them.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::ops::Range;

use socket2::{Domain, Socket, Type};

/// Range of ports that the system gives neither to outgoing connections nor to sockets bound to port 0, of which
/// datagram sockets can't be kept away otherwise.
const FIXED_PORTS: Range<u16> = 12_000..30_000;
/// Maximum number of ports that are tried.
const MAX_TRIES: usize = 1_000;

/// Port that no other process can take until the value is dropped.
///
/// Its socket is bound but does not listen, so that connections to it are refused. A listener that sets `SO_REUSEADDR`,
/// as those of the standard library do, can still be bound to it, any number of times. The system chooses it neither
/// for outgoing connections nor for port 0.
#[derive(Debug)]
pub struct ReservedPort {
    /// Keeps the port.
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves an address; the system chooses the port if it is 0.
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = new_socket(address)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        Self::of(socket)
    }

    /// Reserves a port for connections and datagrams, and for processes that are told its number.
    pub fn fixed(host: IpAddr) -> io::Result<Self> {
        for _ in 0..MAX_TRIES {
            let address = SocketAddr::new(host, fastrand::u16(FIXED_PORTS));
            let socket = new_socket(address)?;
            // Without SO_REUSEADDR, so that a port that is reserved elsewhere counts as taken.
            match socket.bind(&address.into()) {
                Err(error) if error.kind() == ErrorKind::AddrInUse => continue,
                bound => bound?,
            }
            socket.set_reuse_address(true)?;
            return Self::of(socket);
        }
        Err(ErrorKind::AddrInUse.into())
    }

    fn of(socket: Socket) -> io::Result<Self> {
        let address = socket.local_addr()?.as_socket();
        let address = address.ok_or(ErrorKind::Unsupported)?;
        Ok(Self {
            _socket: socket,
            address,
        })
    }

    /// Returns the reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Keeps the port reserved until the process ends, and returns its address.
    pub fn keep(self) -> SocketAddr {
        let address = self.address;
        std::mem::forget(self);
        address
    }

    /// Listens at the reserved address.
    pub fn listen(&self) -> io::Result<TcpListener> {
        TcpListener::bind(self.address)
    }
}

fn new_socket(address: SocketAddr) -> io::Result<Socket> {
    Socket::new(Domain::for_address(address), Type::STREAM, None)
}
