//! Start and stop of a node: its listeners, its traffic threads and its control thread.

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
use crate::caller_stream::{AnswerDelivery, DeliveryBody, DeliveryStream};
use crate::callers::serve_caller;
use crate::clock::Clock;
use crate::control::ControlLoop;
use crate::errors::{Error, Result};
use crate::log::{EventLog, LogLine};
use crate::peers::{PeerInbox, PeerLinks};
use crate::settings::NodeSettings;
use crate::shared::{ControlEvent, NodeShared};

/// Maximum size of the head of a request in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of header lines in a request.
const MAX_HEADERS: usize = 100;
/// Capacity of the queue of events to the control thread, most of them peer messages.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for the other nodes.
    pub peers: SocketAddr,
}

/// Running node: its threads and the means to stop them.
pub struct Node {
    addresses: NodeAddresses,
    control: Sender<ControlEvent>,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds all addresses and starts the threads; returns an error if either fails.
    pub fn start<C: Clock>(settings: NodeSettings, clock: C, log: EventLog) -> Result<Self> {
        let (control, events) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
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
        let caller_task = accept_loop(shared.clone(), callers, serve_caller);
        shared.executor.spawn(caller_task).detach();
        let operator_task = accept_loop(shared.clone(), operators, serve_operator);
        shared.executor.spawn(operator_task).detach();
        let threads = start_threads(&shared, events, inbox)?;
        Ok(Self {
            addresses,
            control,
            threads,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Begins a graceful stop; further calls change nothing.
    pub fn stop(&self) {
        // Sending fails if the control thread has already exited, and then the node has stopped.
        let _ = self.control.try_send(ControlEvent::Stop);
    }

    /// Returns a function that does the same as [`Node::stop`], for use by another thread.
    pub fn stopper(&self) -> impl Fn() + Send + 'static {
        let control = self.control.clone();
        move || {
            let _ = control.try_send(ControlEvent::Stop);
        }
    }

    /// Waits until the node has stopped.
    pub fn join(self) {
        for thread in self.threads {
            // The panic hook has already printed the panic of a thread on standard error.
            let _ = thread.join();
        }
    }
}

pub(crate) fn bind(address: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address).map_err(|error| Error::Listen(address, error))
}

pub(crate) fn local_address(listener: &Async<TcpListener>, requested: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(requested)
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
            // `async_io::block_on` makes this thread poll its sockets itself. Otherwise the reactor's thread
            // would have to wake it for every token.
            let _ = async_io::block_on(executor.run(stopped.recv()));
        };
        threads.push(spawn_thread(format!("traffic-{number}"), work)?);
    }
    let shared = shared.clone();
    let control = move || {
        run_control(shared, events, inbox);
        // Closes the channel, which ends the traffic threads together with the control thread.
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

/// Accepts connections while the node runs, and serves each in a task of its own.
async fn accept_loop<C, S, F>(shared: Arc<NodeShared<C>>, listener: Async<TcpListener>, serve: S)
where
    C: Clock,
    S: Fn(Arc<NodeShared<C>>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = serve_connection(shared.clone(), stream, serve);
                shared.executor.spawn(task).detach();
            }
            // Most likely the process is out of file descriptors: new connections wait until others close.
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
    // Nagle's algorithm would delay the small writes of a stream.
    let _ = stream.get_ref().set_nodelay(true);
    let _open = shared.open_connection();
    let delivery = Arc::new(AnswerDelivery::default());
    let stream = Arc::new(stream);
    let service = service_fn(|request: Request<Incoming>| {
        delivery.begin_answer(request.version());
        let answer = serve(shared.clone(), request);
        let delivery = delivery.clone();
        async move {
            let response = answer.await;
            Ok::<_, std::convert::Infallible>(
                response.map(|body| DeliveryBody::new(body, delivery)),
            )
        }
    });
    let delivery_stream = DeliveryStream::new(stream.clone(), delivery.clone());
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.settings.header_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(FuturesIo::new(delivery_stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = shared.closing.listen();
    let mut is_served = false;
    if !shared.lifecycle.load().closing {
        let closed = async {
            closing.await;
            false
        };
        let served = serve_until_flushed(&shared, connection.as_mut(), &delivery);
        is_served = future::or(served, closed).await;
    }
    if !is_served {
        // The request in flight is answered completely before the connection closes.
        connection.as_mut().graceful_shutdown();
        serve_until_flushed(&shared, connection.as_mut(), &delivery).await;
    }
    delivery.reset_if_truncated(&shared.clock, &stream).await;
}

/// Serves a connection until it ends, or its caller does not take the rest of a truncated answer. Returns true.
async fn serve_until_flushed<C: Clock, T>(
    shared: &NodeShared<C>,
    connection: impl Future<Output = T>,
    delivery: &AnswerDelivery,
) -> bool {
    let served = async {
        // An error of a caller's connection concerns only the caller.
        let _ = connection.await;
    };
    future::or(served, delivery.flush_expired(&shared.clock)).await;
    true
}
