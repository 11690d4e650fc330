//! A network link with faults: a forwarder between two processes that a test cuts or silences.

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

/// Bytes that are forwarded at a time.
const PIECE: usize = 16 * 1024;
/// Set while new connections are refused.
const REFUSES: u64 = 1;
/// Set once nobody listens any more.
const CLOSED: u64 = 2;

/// What has happened to a link so far.
#[derive(Debug, Default)]
struct LinkState {
    flags: AtomicU64,
    /// Connections below this number were cut.
    cut_below: AtomicU64,
    /// Connections below this number are silent: they stay open and carry nothing.
    silent_below: AtomicU64,
    /// Answers of connections below this number are lost, while their requests go through.
    deaf_below: AtomicU64,
    /// Milliseconds by which each piece is held up.
    delay_ms: AtomicU64,
    /// Bytes of requests after which a connection is cut; 0 for never.
    cut_after: AtomicU64,
    accepted: AtomicU64,
    changed: Event,
}

/// A forwarder to one address.
#[derive(Clone, Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    /// Starts forwarding from an address to another, on a thread of its own.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(listen)?;
        let address = listener.get_ref().local_addr()?;
        let state = Arc::new(LinkState::default());
        let link = Self {
            address,
            state: state.clone(),
        };
        std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let accepting = accept(executor.clone(), listener, to, state);
            future::block_on(executor.run(accepting));
        });
        Ok(link)
    }

    /// The address that it forwards from.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets new connections through again.
    pub fn mend(&self) {
        self.state.flags.fetch_and(CLOSED, Ordering::SeqCst);
        self.state.cut_after.store(0, Ordering::SeqCst);
        self.state.delay_ms.store(0, Ordering::SeqCst);
    }

    /// Cuts the open connections one way: requests go through, answers are lost; new ones work.
    pub fn lose_answers(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.deaf_below.store(accepted, Ordering::SeqCst);
    }

    /// Holds up each piece by so many milliseconds.
    pub fn delay(&self, millis: u64) {
        self.state.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Cuts all connections and refuses new ones.
    pub fn cut(&self) {
        self.state.flags.fetch_or(REFUSES, Ordering::SeqCst);
        self.drop_connections();
    }

    /// Ends the link for good: nobody listens any more, so that machines refuse new connections, and then the
    /// open ones are cut.
    pub fn close(&self) {
        self.state.flags.fetch_or(CLOSED, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Cuts the open connections; new ones work.
    pub fn drop_connections(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.cut_below.store(accepted, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.silent_below.store(accepted, Ordering::SeqCst);
        self.state.changed.notify(usize::MAX);
    }

    /// Cuts each connection once it carried so many bytes of requests.
    pub fn cut_after(&self, bytes: u64) {
        self.state.cut_after.store(bytes, Ordering::SeqCst);
    }
}

async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    to: SocketAddr,
    state: Arc<LinkState>,
) {
    loop {
        let changed = state.changed.listen();
        let flags = state.flags.load(Ordering::SeqCst);
        if flags & CLOSED != 0 {
            break;
        }
        let accepting = async { Some(listener.accept().await) };
        let changing = async {
            changed.await;
            None
        };
        let Some(Ok((client, _))) = future::or(changing, accepting).await else {
            continue;
        };
        if state.flags.load(Ordering::SeqCst) & REFUSES != 0 {
            continue;
        }
        let number = state.accepted.fetch_add(1, Ordering::SeqCst);
        let carried = carry(client, to, number, state.clone());
        executor.spawn(carried).detach();
    }
    drop(listener);
    let accepted = state.accepted.load(Ordering::SeqCst);
    state.cut_below.store(accepted, Ordering::SeqCst);
    state.changed.notify(usize::MAX);
    // What is open still has to be closed by whoever carries it.
    future::pending().await
}

async fn carry(client: Async<TcpStream>, to: SocketAddr, number: u64, state: Arc<LinkState>) {
    let Ok(server) = Async::<TcpStream>::connect(to).await else {
        return;
    };
    let _ = client.get_ref().set_nodelay(true);
    let _ = server.get_ref().set_nodelay(true);
    let up = forward(&client, &server, number, &state, true);
    let down = forward(&server, &client, number, &state, false);
    let both = future::zip(up, down);
    let cut = async {
        loop {
            let changed = state.changed.listen();
            if number < state.cut_below.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    };
    let carrying = async {
        both.await;
    };
    future::or(cut, carrying).await;
}

/// Forwards one direction until it ends, falls silent or is cut.
async fn forward(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    number: u64,
    state: &LinkState,
    is_request: bool,
) {
    let mut piece = vec![0; PIECE];
    let mut carried = 0;
    while let Ok(mut count @ 1..) = from.read(&mut piece).await {
        let is_deaf = !is_request && number < state.deaf_below.load(Ordering::SeqCst);
        if is_deaf || number < state.silent_below.load(Ordering::SeqCst) {
            continue;
        }
        let delay = state.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            async_io::Timer::after(Duration::from_millis(delay)).await;
        }
        let bound = state.cut_after.load(Ordering::SeqCst);
        let cuts = is_request && bound > 0 && carried + count as u64 >= bound;
        if cuts {
            count = (bound - carried) as usize;
        }
        if to.write_all(&piece[..count]).await.is_err() {
            break;
        }
        carried += count as u64;
        if cuts {
            let _ = from.get_ref().shutdown(std::net::Shutdown::Both);
            break;
        }
    }
    let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
}
