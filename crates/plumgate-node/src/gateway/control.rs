//! Control thread of a gateway node: follows the source and runs the node's lifecycle.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use plumgate::gateway::{DirectResult, NodeEntry};
use plumgate::ids::DataCentreId;

use super::connection_cause::ConnectionCause;
use super::duties::DutyState;
use super::exchange::PeerExchange;
use super::lifecycle::GatewayLifecycle;
use super::options::GatewayBounds;
use super::peer_connections::accept_peers;
use super::ports::{FleetSource, SourceTopic};
use super::server_connection::{CONNECT_TIMEOUT, probe_path};
use super::shared::GatewayShared;
use super::snapshots::{CONCURRENT_SNAPSHOTS, serve_snapshots};
use super::source_calls::{CallCause, CallTopic, record_source_call};
use super::view::FleetView;
use crate::clock::{Clock, until};
use crate::http::open_stream;
use crate::log::LogLine;

/// Time between two checks of periodic work.
pub(super) const TICK: Duration = Duration::from_millis(100);
/// Maximum time for which a stopping node waits until its row is removed.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Signal from outside to the control thread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum GatewaySignal {
    /// The process was asked to stop.
    Stop,
    /// The node ends at once, as in a crash.
    Abort,
    /// The operators' bounds were reloaded.
    Reload(GatewayBounds),
}

/// Way in which the lifecycle of a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LifecycleEnd {
    /// By a graceful stop.
    Stopped,
    /// At once.
    Aborted,
}

/// State of the control thread.
pub(crate) struct GatewayControl<C, W> {
    pub(super) shared: Arc<GatewayShared<C, W>>,
    pub(super) view: Rc<FleetView<C, W>>,
    unreachable_data_centres: RefCell<Vec<DataCentreId>>,
    pub(super) lifecycle: RefCell<GatewayLifecycle>,
}

impl<C: Clock, W: Send + Sync + 'static> GatewayControl<C, W> {
    /// Creates the state of a node that has no configuration and no servers yet.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        Self {
            view: Rc::new(FleetView::new(shared.clone())),
            shared,
            unreachable_data_centres: RefCell::default(),
            lifecycle: RefCell::new(GatewayLifecycle::new()),
        }
    }

    /// Runs until the node has stopped. Other nodes connect to `peer_listener`.
    pub(crate) fn run<S: FleetSource>(
        self,
        source: S,
        signals: Receiver<GatewaySignal>,
        peer_listener: Option<Async<TcpListener>>,
    ) {
        let control = Rc::new(self);
        let executor = LocalExecutor::new();
        for topic in [SourceTopic::Config, SourceTopic::Servers] {
            let control = control.clone();
            let source = source.clone();
            let following = async move { control.follow(source, topic).await };
            executor.spawn(following).detach();
        }
        for topic in [SourceTopic::Config, SourceTopic::Servers] {
            let control = control.clone();
            let fetching = async move { control.fetch_snapshots(topic).await };
            executor.spawn(fetching).detach();
        }
        if let Some(listener) = peer_listener {
            let (sender, connections) = async_channel::bounded(CONCURRENT_SNAPSHOTS);
            let accepting = accept_peers(control.shared.clone(), listener, sender);
            executor.spawn(accepting).detach();
            for _ in 0..CONCURRENT_SNAPSHOTS {
                let (shared, view) = (control.shared.clone(), control.view.clone());
                let serving = serve_snapshots(shared, view, connections.clone());
                executor.spawn(serving).detach();
            }
        }
        let duties = DutyState::new(control.shared.clone()).map(Rc::new);
        if let Some(duties) = &duties {
            let api = source.duty_api(duties.options.address);
            let maintaining = duties.clone().maintain_lease(source.clone());
            executor.spawn(maintaining).detach();
            executor.spawn(duties.clone().call_duty_api(api)).detach();
        }
        let own_entry = PeerExchange::new(control.shared.clone(), control.view.clone(), duties)
            .map(|exchange| exchange.spawn(&executor, source.clone()));
        let running = async {
            let end = control.run_lifecycle(signals).await;
            control.shared.close_carried();
            if let Some(entry) = own_entry.filter(|_| end == LifecycleEnd::Stopped) {
                control.leave(source, &entry).await;
            }
        };
        async_io::block_on(executor.run(running));
    }

    /// Removes the node from the register, if that succeeds quickly: a row that remains only reduces the other
    /// nodes' share of the retries.
    async fn leave<S: FleetSource>(&self, mut source: S, entry: &NodeEntry) {
        let deadline = self.shared.clock.now() + LEAVE_TIMEOUT;
        let leaving = source.unregister(entry);
        let removed = until(&self.shared.clock, deadline, leaving).await;
        let done = matches!(removed, Some(Ok(())));
        record_source_call(&self.shared, CallTopic::Nodes, CallCause::Leave, done);
        LogLine::new("unregister")
            .with("done", done)
            .info(&self.shared.log);
    }

    /// Runs the lifecycle of the node until it ends.
    async fn run_lifecycle(&self, signals: Receiver<GatewaySignal>) -> LifecycleEnd {
        while !self.lifecycle.borrow().has_stopped() {
            let tick = async {
                self.shared.clock.sleep(TICK).await;
                None
            };
            let signal = async {
                match signals.recv().await {
                    Ok(signal) => Some(signal),
                    Err(_) => future::pending().await,
                }
            };
            match future::or(signal, tick).await {
                Some(GatewaySignal::Stop) => self.lifecycle.borrow_mut().stop(&self.shared),
                Some(GatewaySignal::Abort) => return LifecycleEnd::Aborted,
                Some(GatewaySignal::Reload(bounds)) => self.reload(bounds),
                None => self.tick(),
            }
        }
        LifecycleEnd::Stopped
    }

    fn tick(&self) {
        let now = self.shared.clock.now();
        self.shared.budget().tick(self.shared.clock.boot_time());
        self.view.tick(now);
        self.shared.links.sweep(now);
        if let Some(age) = self.shared.key_age_ms() {
            let age = i64::try_from(age).unwrap_or(i64::MAX);
            self.shared.metrics.config.key_age.set(age);
        }
        self.shared.update_paths();
        self.probe_lost_path(now);
        self.probe_data_centres(now);
        self.lifecycle.borrow_mut().tick(&self.shared);
    }

    /// Opens a plain connection to a server that only other nodes reached, to detect when this node reaches it again.
    fn probe_lost_path(&self, now: Instant) {
        let Some(server) = self.shared.paths().take_due_probe(now) else {
            return;
        };
        let Some(server) = self.shared.loads().entry(&server).cloned() else {
            return;
        };
        let shared = self.shared.clone();
        let probing = async move { probe_path(&shared, &server).await };
        self.shared.spawn_guarded("probe", probing);
    }

    /// Opens plain connections to the data centres that seem unreachable, to detect when they can be reached
    /// again.
    fn probe_data_centres(&self, now: Instant) {
        let (probes, unreachable) = {
            let mut loads = self.shared.loads();
            (loads.probes(now), loads.unreachable_data_centres())
        };
        self.log_unreachable_data_centres(unreachable);
        for server in probes {
            let shared = self.shared.clone();
            let probing = async move {
                let deadline = shared.clock.now() + CONNECT_TIMEOUT;
                let opening = open_stream(shared.options.server_address(server.address));
                let opened = until(&shared.clock, deadline, opening).await;
                let reached = opened.is_some();
                let result = match opened {
                    Some(Ok(_)) => DirectResult::Opened,
                    Some(Err(_)) => DirectResult::Refused,
                    None => DirectResult::Silent,
                };
                shared.record_connection(ConnectionCause::PathProbe, result.as_str());
                LogLine::new("centre_probe")
                    .with("data_centre", &server.data_centre)
                    .with("server", &server.id)
                    .with("reached", reached)
                    .info(&shared.log);
                if reached {
                    shared.loads().record_reached(&server);
                }
            };
            self.shared.spawn_guarded("probe", probing);
        }
    }

    fn log_unreachable_data_centres(&self, unreachable: Vec<DataCentreId>) {
        let known = self.unreachable_data_centres.replace(unreachable.clone());
        for data_centre in unreachable
            .iter()
            .filter(|data_centre| !known.contains(data_centre))
        {
            LogLine::new("centre_lost")
                .with("data_centre", data_centre)
                .warn(&self.shared.log);
        }
        for data_centre in known
            .iter()
            .filter(|data_centre| !unreachable.contains(data_centre))
        {
            LogLine::new("centre_regained")
                .with("data_centre", data_centre)
                .info(&self.shared.log);
        }
    }

    fn reload(&self, bounds: GatewayBounds) {
        LogLine::new("reload")
            .with("changed", **self.shared.bounds.load() != bounds)
            .with("key_age_ms", bounds.max_key_age.as_millis())
            .with("grace_ms", bounds.grace.as_millis())
            .with("retry_ratio", bounds.retry_ratio)
            .with("retry_extra", bounds.retry_extra)
            .info(&self.shared.log);
        self.view.sync_state().set_max_age(bounds.max_key_age);
        self.shared.set_bounds(bounds);
    }
}
