//! Start and stop of a node: its listeners, its traffic threads and its control thread.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use plumgate::callers::RECEIVE_BUFFER;
use plumgate::dispatch::{DispatchOptions, Dispatcher};
use plumgate::gateway::CallerLimits;
use plumgate::membership::MemberTable;
use plumgate::route::RouteOptions;
use plumgate::wire::{NodeDigest, PeerKey};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::SockRef;

use crate::admin::serve_operator;
use crate::body::AnswerBody;
use crate::caller_connections::{CallerConnections, ConnectionSlot};
use crate::caller_stream::{AnswerDelivery, DeliveryBody, DeliveryStream, discard_rest};
use crate::callers::serve_caller;
use crate::clock::Clock;
use crate::connection_activity::{CallerStream, ConnectionActivity, GuardedBody};
use crate::control::ControlLoop;
use crate::errors::{Error, Result};
use crate::log::{EventLog, LogLine};
use crate::peers::{PeerInbox, PeerLinks};
use crate::settings::NodeSettings;
use crate::shared::{ControlEvent, NodeShared};

/// Maximum size of the head of a request in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of header lines in a request.
const MAX_HEADERS: usize = 100;
/// Number of bodies of the largest size that are read and discarded after a refusal.
const DISCARDED_BODIES: usize = 2;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
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
    pub fn start<C: Clock + Unpin>(
        settings: NodeSettings,
        clock: C,
        log: EventLog,
    ) -> Result<Self> {
        let (control, events) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
        let callers = bind_callers(settings.listen, &log)?;
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
        let room = shared.callers.clone();
        let caller_task = accept_loop(shared.clone(), room, callers, serve_caller);
        shared.executor.spawn(caller_task).detach();
        let room = shared.operators.clone();
        let operator_task = accept_loop(shared.clone(), room, operators, serve_operator);
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

/// Binds the listener for callers, whose connections have small receive buffers: what callers send and the node does
/// not read is bounded by their number.
pub(crate) fn bind_callers(address: SocketAddr, log: &EventLog) -> Result<Async<TcpListener>> {
    let listener = bind(address)?;
    let socket = SockRef::from(listener.get_ref());
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
        LogLine::new("receive_buffer_unset")
            .with("address", address)
            .with("error", error)
            .warn(log);
    }
    Ok(listener)
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
async fn accept_loop<C, S, F>(
    shared: Arc<NodeShared<C>>,
    room: Arc<CallerConnections<C>>,
    listener: Async<TcpListener>,
    serve: S,
) where
    C: Clock + Unpin,
    S: Fn(Arc<NodeShared<C>>, Request<Incoming>, Arc<ConnectionActivity<C>>) -> F
        + Copy
        + Send
        + Sync
        + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // A connection without a slot closes unread.
                if let Some(slot) = room.admit().await {
                    let task = serve_connection(shared.clone(), stream, slot, serve);
                    shared.executor.spawn(Box::pin(task)).detach();
                }
            }
            // Most likely the process is out of file descriptors: new connections wait until others close.
            Err(error) => {
                LogLine::new("accept_failed")
                    .with("error", error)
                    .warn(&shared.log);
                room.make_room();
                shared.clock.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<C, S, F>(
    shared: Arc<NodeShared<C>>,
    stream: Async<TcpStream>,
    slot: ConnectionSlot<C>,
    serve: S,
) where
    C: Clock + Unpin,
    S: Fn(Arc<NodeShared<C>>, Request<Incoming>, Arc<ConnectionActivity<C>>) -> F
        + Copy
        + Send
        + Sync
        + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    // Nagle's algorithm would delay the small writes of a stream.
    let _ = stream.get_ref().set_nodelay(true);
    let _open = shared.open_connection();
    let delivery = Arc::new(AnswerDelivery::default());
    let stream = Arc::new(stream);
    let limits = caller_limits(&shared);
    let activity = Arc::new(ConnectionActivity::new(limits, slot, shared.clock.clone()));
    let service = service_fn(|request: Request<Incoming>| {
        delivery.begin_answer(request.version());
        let hold = activity.begin_request(limits);
        activity.set_receives_body(!request.body().is_end_stream());
        let answer = serve(shared.clone(), request, activity.clone());
        let delivery = delivery.clone();
        let activity = activity.clone();
        // Allocated for the duration of a request only: most connections are idle.
        Box::pin(async move {
            let response = answer.await;
            activity.set_receives_body(false);
            activity.on_answer(false);
            Ok::<_, std::convert::Infallible>(
                response.map(|body| GuardedBody::new(DeliveryBody::new(body, delivery), hold)),
            )
        })
    });
    let delivery_stream = DeliveryStream::new(stream.clone(), delivery.clone());
    let caller_stream = CallerStream::new(delivery_stream, activity.clone());
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.settings.header_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(FuturesIo::new(caller_stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = shared.closing.listen();
    let mut end = None;
    if !shared.lifecycle.load().closing {
        let closed = async {
            closing.await;
            None
        };
        let served = async {
            Some(serve_until_flushed(&shared, connection.as_mut(), &delivery, &activity).await)
        };
        end = future::or(served, closed).await;
    }
    let end = match end {
        Some(end) => end,
        None => {
            // The request in flight is answered completely before the connection closes.
            connection.as_mut().graceful_shutdown();
            serve_until_flushed(&shared, connection.as_mut(), &delivery, &activity).await
        }
    };
    let is_reset = delivery.reset_if_truncated(&shared.clock, &stream).await;
    if end == ServiceEnd::Served && !is_reset && activity.summary().caller_end.is_none() {
        activity.begin_discard();
        let max_bytes = DISCARDED_BODIES * shared.settings.body_bytes;
        let discarding = Box::pin(discard_rest(&shared.clock, &stream, max_bytes));
        future::or(activity.displaced(), discarding).await;
    }
}

/// Returns the limits on callers' connections.
fn caller_limits<C: Clock>(shared: &NodeShared<C>) -> CallerLimits {
    CallerLimits {
        head_bytes: MAX_HEAD_BYTES,
        body_bytes: shared.settings.body_bytes,
        head_timeout: shared.settings.header_timeout,
        idle_timeout: shared.settings.header_timeout,
    }
}

/// How the service of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceEnd {
    /// The connection ended, or its last answer was sent.
    Served,
    /// The connection made room for another one, or its caller did not take an answer.
    Abandoned,
}

/// Serves a connection until it ends, makes room for another one, or its caller does not take an answer.
async fn serve_until_flushed<C: Clock, T>(
    shared: &NodeShared<C>,
    connection: impl Future<Output = T>,
    delivery: &AnswerDelivery,
    activity: &ConnectionActivity<C>,
) -> ServiceEnd {
    let served = async {
        // An error of a caller's connection concerns only the caller.
        let _ = connection.await;
        ServiceEnd::Served
    };
    let limits = caller_limits(shared);
    let ended = future::or(activity.displaced(), activity.expired(limits));
    let abandoned = async {
        future::or(delivery.flush_expired(&shared.clock), ended).await;
        ServiceEnd::Abandoned
    };
    future::or(served, abandoned).await
}
