//! Starts the threads of a node and stops them again.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use plumgate::dispatch::{DispatchOptions, Dispatcher};
use plumgate::membership::MemberTable;
use plumgate::route::RouteOptions;
use plumgate::wire::{NodeDigest, PeerKey};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::admin::serve_operator;
use crate::body::AnswerBody;
use crate::callers::serve_caller;
use crate::clock::Clock;
use crate::control::ControlLoop;
use crate::errors::{Error, Result};
use crate::log::{EventLog, LogLine};
use crate::peers::{PeerInbox, PeerLinks};
use crate::settings::NodeSettings;
use crate::shared::{ControlEvent, NodeShared};

/// Bytes that the head of a request may have.
const HEAD_BYTES_MOST: usize = 64 * 1024;
/// Header lines that a request may have.
const HEADERS_MOST: usize = 100;
/// Peer messages that wait for the control thread.
const EVENTS_WAITING: usize = 1024;

/// The addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the other nodes.
    pub peers: SocketAddr,
}

/// A running node.
pub struct Node {
    addresses: NodeAddresses,
    control: Sender<ControlEvent>,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds all addresses and starts the threads.
    pub fn start<C: Clock>(settings: NodeSettings, clock: C, log: EventLog) -> Result<Self> {
        let (control, events) = async_channel::bounded(EVENTS_WAITING);
        let callers = bind(settings.listen)?;
        let operators = bind(settings.admin_listen)?;
        let inbox = PeerInbox::listen(settings.peer_listen, control.clone())?;
        let addresses = NodeAddresses {
            callers: local_address(&callers, settings.listen),
            operators: local_address(&operators, settings.admin_listen),
            peers: inbox.address(),
        };
        let route = RouteOptions::new(settings.data_centre.clone())
            .with_node(settings.node.clone())
            .with_seed(settings.seed)
            .with_policy(settings.route_policy);
        let options = DispatchOptions::new(route).with_queue(settings.queue_policy);
        let dispatcher = Dispatcher::new(options);
        let shared = Arc::new(NodeShared::new(
            settings,
            clock,
            log,
            dispatcher,
            control.clone(),
        ));
        log_start(&shared, addresses);
        let caller_side = accept_loop(shared.clone(), callers, serve_caller);
        shared.executor.spawn(caller_side).detach();
        let operator_side = accept_loop(shared.clone(), operators, serve_operator);
        shared.executor.spawn(operator_side).detach();
        let threads = start_threads(&shared, events, inbox)?;
        Ok(Self {
            addresses,
            control,
            threads,
        })
    }

    /// The addresses that were bound.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Asks the node to stop; asked again, it waits for less.
    pub fn stop(&self) {
        // A control thread that is gone has stopped already.
        let _ = self.control.try_send(ControlEvent::Stop);
    }

    /// A way to ask the node to stop from elsewhere.
    pub fn stopper(&self) -> impl Fn() + Send + 'static {
        let control = self.control.clone();
        move || {
            let _ = control.try_send(ControlEvent::Stop);
        }
    }

    /// Waits until the node has stopped.
    pub fn join(self) {
        for thread in self.threads {
            // A thread that panicked has said so on standard error.
            let _ = thread.join();
        }
    }
}

pub(crate) fn bind(address: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address).map_err(|error| Error::Listen(address, error))
}

pub(crate) fn local_address(listener: &Async<TcpListener>, asked: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(asked)
}

fn log_start<C: Clock>(shared: &NodeShared<C>, addresses: NodeAddresses) {
    LogLine::new("start")
        .with("node", &shared.settings.node)
        .with("data_centre", &shared.settings.data_centre)
        .with("callers", addresses.callers)
        .with("operators", addresses.operators)
        .with("peers", addresses.peers)
        .info(&shared.log);
}

fn start_threads<C: Clock>(
    shared: &Arc<NodeShared<C>>,
    events: Receiver<ControlEvent>,
    inbox: PeerInbox,
) -> Result<Vec<JoinHandle<()>>> {
    let (running, stopped) = async_channel::bounded::<()>(1);
    let mut threads = Vec::new();
    for number in 0..shared.settings.traffic_threads.max(1) {
        let executor = shared.executor.clone();
        let stopped = stopped.clone();
        let work = move || {
            // This way the thread waits for its sockets itself; another one would have to be
            // woken for every token.
            let _ = async_io::block_on(executor.run(stopped.recv()));
        };
        threads.push(spawn_thread(format!("traffic-{number}"), work)?);
    }
    let shared = shared.clone();
    let control = move || {
        run_control(shared, events, inbox);
        // The traffic threads end when the control thread does.
        drop(running);
    };
    threads.push(spawn_thread("control".to_owned(), control)?);
    Ok(threads)
}

pub(crate) fn spawn_thread(
    name: String,
    work: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name)
        .spawn(work)
        .map_err(Error::Thread)
}

fn run_control<C: Clock>(
    shared: Arc<NodeShared<C>>,
    events: Receiver<ControlEvent>,
    inbox: PeerInbox,
) {
    let settings = &shared.settings;
    let own = NodeDigest {
        node: settings.node.to_string(),
        data_centre: settings.data_centre.to_string(),
        address: inbox.address().to_string(),
        incarnation: shared.incarnation,
        ..NodeDigest::default()
    };
    let key = PeerKey::new(settings.peer_key.as_bytes());
    let links = PeerLinks::new(key, own.node.clone(), own.incarnation);
    let seeds = settings.peers.iter().map(ToString::to_string);
    let members = MemberTable::new(own, seeds, settings.seed);
    let executor = Rc::new(LocalExecutor::new());
    let control = ControlLoop::new(shared.clone(), events, executor.clone(), members, links);
    future::block_on(executor.run(control.run()));
}

/// Accepts connections for as long as the node runs.
async fn accept_loop<C, S, F>(shared: Arc<NodeShared<C>>, listener: Async<TcpListener>, serve: S)
where
    C: Clock,
    S: Fn(Arc<NodeShared<C>>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let carried = serve_connection(shared.clone(), stream, serve);
                shared.executor.spawn(carried).detach();
            }
            // Out of file handles, most likely: the next connections wait until some close.
            Err(_) => {
                shared
                    .clock
                    .sleep(std::time::Duration::from_millis(20))
                    .await
            }
        }
    }
}

async fn serve_connection<C, S, F>(shared: Arc<NodeShared<C>>, stream: Async<TcpStream>, serve: S)
where
    C: Clock,
    S: Fn(Arc<NodeShared<C>>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    // Small pieces of a stream must not wait for each other.
    let _ = stream.get_ref().set_nodelay(true);
    let _open = shared.open_connection();
    let service = service_fn(|request| {
        let answer = serve(shared.clone(), request);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.settings.header_timeout)
        .max_buf_size(HEAD_BYTES_MOST)
        .max_headers(HEADERS_MOST)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = shared.closing.listen();
    if !shared.life.load().closing {
        let closed = async {
            closing.await;
            None
        };
        let served = async { Some(connection.as_mut().await) };
        if future::or(served, closed).await.is_some() {
            return;
        }
    }
    // The request in flight is answered whole; then the connection closes.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
