//! Starts and stops the threads of a gateway node.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use async_channel::Sender;
use async_io::Async;
use plumgate::gateway::{PolicyPart, PolicySwitches};

use super::caller::{accept_callers, accept_probes};
use super::control::{GatewayControl, GatewaySignal};
use super::options::{GatewayBounds, GatewayOptions};
use super::ports::{FleetSource, WireFormat};
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::errors::Result;
use crate::log::{EventLog, LogLine};
use crate::node::{bind, bind_callers, local_address, spawn_thread};

/// Maximum number of signals that wait for the control thread.
const MAX_PENDING_SIGNALS: usize = 16;

/// Handle that controls a running gateway node from other threads.
#[derive(Clone, Debug)]
pub struct GatewayHandle {
    signals: Sender<GatewaySignal>,
}

impl GatewayHandle {
    /// Asks the node to stop.
    pub fn stop(&self) {
        // A control thread that has ended needs no signal.
        let _ = self.signals.try_send(GatewaySignal::Stop);
    }

    /// Ends the node at once, without its graceful stop: other nodes and callers see a crash.
    pub fn abort(&self) {
        let _ = self.signals.try_send(GatewaySignal::Abort);
    }

    /// Passes on the operators' bounds after a reload.
    pub fn reload(&self, bounds: GatewayBounds) {
        let _ = self.signals.try_send(GatewaySignal::Reload(bounds));
    }
}

/// Addresses that a gateway node listens on.
#[derive(Clone, Copy, Debug)]
pub struct GatewayAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
}

/// Running gateway node.
pub struct GatewayNode {
    addresses: GatewayAddresses,
    handle: GatewayHandle,
    threads: Vec<JoinHandle<()>>,
}

impl GatewayNode {
    /// Binds all addresses and starts the threads.
    pub fn start<C: Clock + Unpin, W: WireFormat, S: FleetSource + Send>(
        options: GatewayOptions,
        clock: C,
        log: EventLog,
        wire: W,
        source: S,
    ) -> Result<Self> {
        let (signals, signal_receiver) = async_channel::bounded(MAX_PENDING_SIGNALS);
        // Fixed addresses are bound before those whose port the system may choose.
        let peer_listener = bind_peer_listener(&options, &log);
        let callers = bind_callers(options.listen, &log)?;
        let probes = bind(options.ready_listen)?;
        let metrics = options.metrics_listen.map(bind).transpose()?;
        let addresses = GatewayAddresses {
            callers: local_address(&callers, options.listen),
            ready: local_address(&probes, options.ready_listen),
        };
        let shared = Arc::new(GatewayShared::new(options, clock, log, wire));
        log_start(&shared);
        shared.metrics.policy.set_parts(shared.options.switches);
        let executor = shared.executor.clone();
        executor
            .spawn(accept_callers(shared.clone(), callers))
            .detach();
        for listener in [Some(probes), metrics].into_iter().flatten() {
            executor
                .spawn(accept_probes(shared.clone(), listener))
                .detach();
        }
        let (running, stopped) = async_channel::bounded::<()>(1);
        let traffic = move || {
            // Ends when the control thread ends.
            let _ = async_io::block_on(executor.run(stopped.recv()));
        };
        let control = move || {
            let control = GatewayControl::new(shared.clone());
            control.run(source, signal_receiver, peer_listener);
            shared.log_cut_requests();
            LogLine::new("stop")
                .with("node", &shared.options.node)
                .with("open_requests", shared.open_requests())
                .info(&shared.log);
            drop(running);
        };
        let threads = vec![
            spawn_thread("traffic".to_owned(), traffic)?,
            spawn_thread("control".to_owned(), control)?,
        ];
        Ok(Self {
            addresses,
            handle: GatewayHandle { signals },
            threads,
        })
    }

    /// Returns the addresses that were bound.
    pub fn addresses(&self) -> GatewayAddresses {
        self.addresses
    }

    /// Returns a handle that controls the node from other threads.
    pub fn handle(&self) -> GatewayHandle {
        self.handle.clone()
    }

    /// Waits until the node has stopped.
    pub fn join(self) {
        for thread in self.threads {
            // A thread that panicked has written a message to standard error.
            let _ = thread.join();
        }
    }
}

fn log_start<C: Clock, W>(shared: &GatewayShared<C, W>) {
    let options = &shared.options;
    LogLine::new("start")
        .with("node", &options.node)
        .with("data_centre", &options.data_centre)
        .with("callers", options.listen)
        .with("ready", options.ready_listen)
        .with_some("metrics", options.metrics_listen)
        .with("key_age_ms", options.bounds.max_key_age.as_millis())
        .with("retry_ratio", options.bounds.retry_ratio)
        .with("retry_extra", options.bounds.retry_extra)
        .with_some("switched_off", switched_off(options.switches))
        .info(&shared.log);
}

/// Returns the names of the policy's mechanisms that are off, for the log.
fn switched_off(switches: PolicySwitches) -> Option<String> {
    let names: Vec<&str> = switches.off().map(PolicyPart::as_str).collect();
    (!names.is_empty()).then(|| names.join(","))
}

/// Binds the listener for other nodes' requests for snapshots. If that fails, this node serves without it,
/// and other nodes send their requests elsewhere.
fn bind_peer_listener(options: &GatewayOptions, log: &EventLog) -> Option<Async<TcpListener>> {
    let address = options.peer_listen?;
    match bind(address) {
        Ok(listener) => Some(listener),
        Err(error) => {
            LogLine::new("peers_unserved")
                .with("address", address)
                .with("error", error)
                .warn(log);
            None
        }
    }
}
