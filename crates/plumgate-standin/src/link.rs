//! Network link with faults: a TCP forwarder between two processes that a test can cut, delay or silence.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use socket2::{Domain, SockRef, Socket, Type};

use crate::reserved_port::ReservedPort;

/// Size of the forwarding buffer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Connections that fill the queue of a listener that accepts none.
const QUEUED_CONNECTIONS: usize = 3;
/// Flag that is set while new connections are closed right after they are accepted.
const REFUSING: u64 = 1;
/// Flag that is set once the link no longer listens.
const CLOSED: u64 = 2;
/// Flag that is set while the operating system refuses new connections.
const UNBOUND: u64 = 4;
/// Flag that is set while new connections get no response.
const SATURATED: u64 = 8;

/// Faults of a link, shared by the test and the forwarding thread.
#[derive(Debug, Default)]
struct LinkState {
    flags: AtomicU64,
    /// Connections with a number below this are cut.
    cut_below: AtomicU64,
    /// Connections with a number below this stay open and forward nothing.
    silent_below: AtomicU64,
    /// Connections with a number below this forward requests and discard the answers.
    answers_lost_below: AtomicU64,
    /// Delay of each chunk, in milliseconds.
    delay_ms: AtomicU64,
    /// Number of request bytes after which a connection is cut; 0 for never.
    cut_after: AtomicU64,
    accepted: AtomicU64,
    changed: Event,
}

/// Forwarder to one address.
#[derive(Clone, Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    /// Starts forwarding from one address to another on a separate thread.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let port = ReservedPort::new(listen)?;
        let listener = Async::new(port.listen()?)?;
        let address = port.address();
        let state = Arc::new(LinkState::default());
        let link = Self {
            address,
            state: state.clone(),
        };
        std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let accepting = accept(executor.clone(), port, listener, to, state);
            future::block_on(executor.run(accepting));
        });
        Ok(link)
    }

    /// Returns the address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts new connections again and removes delay and byte limit.
    pub fn restore(&self) {
        self.state.flags.fetch_and(CLOSED, Ordering::SeqCst);
        self.state.cut_after.store(0, Ordering::SeqCst);
        self.state.delay_ms.store(0, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Has the operating system refuse new connections until [`Self::restore`]; open ones live on.
    pub fn refuse_new(&self) {
        self.state.flags.fetch_or(UNBOUND, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Leaves new connections without a response until [`Self::restore`]; open ones live on.
    pub fn ignore_new(&self) {
        self.state.flags.fetch_or(SATURATED, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Discards the answers on open connections, but still forwards their requests; new connections work.
    pub fn discard_answers(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state
            .answers_lost_below
            .store(accepted, Ordering::SeqCst);
    }

    /// Delays each chunk by a number of milliseconds.
    pub fn delay(&self, millis: u64) {
        self.state.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Resets all connections and closes new ones at once.
    pub fn cut(&self) {
        self.state.flags.fetch_or(REFUSING, Ordering::SeqCst);
        self.drop_connections();
    }

    /// Closes the link permanently: first the listener, so that the operating system refuses new connections, then
    /// the open connections.
    pub fn close(&self) {
        self.state.flags.fetch_or(CLOSED, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Resets open connections; new ones work.
    pub fn drop_connections(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.cut_below.store(accepted, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Silences open connections permanently: they stay open and forward nothing; new connections work.
    pub fn silence(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.silent_below.store(accepted, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Cuts each connection after it has forwarded a number of request bytes.
    pub fn cut_after(&self, bytes: u64) {
        self.state.cut_after.store(bytes, Ordering::SeqCst);
    }
}

/// Returns sockets that keep new connections to an address without a response: a listener whose queue is full.
fn saturate(address: SocketAddr) -> io::Result<Vec<Socket>> {
    let new_socket = || Socket::new(Domain::for_address(address), Type::STREAM, None);
    let listener = new_socket()?;
    listener.set_reuse_address(true)?;
    listener.bind(&address.into())?;
    listener.listen(0)?;
    let mut sockets = vec![listener];
    for _ in 0..QUEUED_CONNECTIONS {
        let socket = new_socket()?;
        socket.set_nonblocking(true)?;
        // The connection is established, or stays pending, in the background.
        let _ = socket.connect(&address.into());
        sockets.push(socket);
    }
    Ok(sockets)
}

async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    port: ReservedPort,
    listener: Async<TcpListener>,
    to: SocketAddr,
    state: Arc<LinkState>,
) {
    let mut bound = Some(listener);
    loop {
        let changed = state.changed.listen();
        let flags = state.flags.load(Ordering::SeqCst);
        if flags & CLOSED != 0 {
            break;
        }
        if flags & (UNBOUND | SATURATED) != 0 {
            bound = None;
            let _sockets = (flags & SATURATED != 0).then(|| saturate(port.address()));
            changed.await;
            continue;
        }
        let listener = match bound.take() {
            Some(listener) => listener,
            None => port
                .listen()
                .and_then(Async::new)
                .expect("the link's own port"),
        };
        let listener = bound.insert(listener);
        let accepting = async { Some(listener.accept().await) };
        let notified = async {
            changed.await;
            None
        };
        let Some(Ok((client, _))) = future::or(notified, accepting).await else {
            continue;
        };
        if state.flags.load(Ordering::SeqCst) & REFUSING != 0 {
            continue;
        }
        let number = state.accepted.fetch_add(1, Ordering::SeqCst);
        let forwarding = forward_connection(client, to, number, state.clone());
        executor.spawn(forwarding).detach();
    }
    drop(bound);
    let accepted = state.accepted.load(Ordering::SeqCst);
    state.cut_below.store(accepted, Ordering::SeqCst);
    state.changed.notify(usize::MAX);
    // Keeps the executor running, so that the tasks of open connections can close them.
    future::pending().await
}

async fn forward_connection(
    client: Async<TcpStream>,
    to: SocketAddr,
    number: u64,
    state: Arc<LinkState>,
) {
    let Ok(server) = Async::<TcpStream>::connect(to).await else {
        return;
    };
    let _ = client.get_ref().set_nodelay(true);
    let _ = server.get_ref().set_nodelay(true);
    let up = forward(&client, &server, number, &state, true);
    let down = forward(&server, &client, number, &state, false);
    let cut = async {
        loop {
            let changed = state.changed.listen();
            if number < state.cut_below.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            changed.await;
        }
    };
    let forwarding = async { future::try_zip(up, down).await.map(|_| ()) };
    if future::or(cut, forwarding).await.is_err() {
        // An orderly close would look like the end of an answer that has no other end.
        for stream in [&client, &server] {
            let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Forwards one direction of a connection until it is closed in order; an error if it breaks. The data of a silenced
/// connection is read and discarded.
async fn forward(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    number: u64,
    state: &LinkState,
    is_request: bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut forwarded = 0;
    loop {
        let mut count = from.read(&mut chunk).await?;
        if count == 0 {
            break;
        }
        let loses_answer = !is_request && number < state.answers_lost_below.load(Ordering::SeqCst);
        if loses_answer || number < state.silent_below.load(Ordering::SeqCst) {
            continue;
        }
        let delay = state.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            async_io::Timer::after(Duration::from_millis(delay)).await;
        }
        let limit = state.cut_after.load(Ordering::SeqCst);
        let reaches_limit = is_request && limit > 0 && forwarded + count as u64 >= limit;
        if reaches_limit {
            count = (limit - forwarded) as usize;
        }
        to.write_all(&chunk[..count]).await?;
        forwarded += count as u64;
        if reaches_limit {
            let _ = from.get_ref().shutdown(std::net::Shutdown::Both);
            break;
        }
    }
    to.get_ref().shutdown(std::net::Shutdown::Write)
}
