//! Registration of this node, and reads of the register of nodes.

use std::time::Duration;

use super::PeerExchange;
use crate::clock::{Clock, until};
use crate::gateway::ports::FleetSource;
use crate::gateway::source_calls::{CallCause, CallTopic, record_source_call};
use crate::log::LogLine;

/// Pause before the register is read for the first time: nodes that start together have registered by then.
const FIRST_READ_DELAY: Duration = Duration::from_millis(700);
/// Mean time between two reads of the register by a collector. In between, the collector learns of new nodes from
/// their messages, and sends the other nodes the number of nodes.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time over which the nodes spread the writes of their rows after the store was restored from an old backup:
/// 76 nodes then write about 40 rows a second, a tenth of what a small store can handle.
const REREGISTER_SPREAD: Duration = Duration::from_secs(2);
/// Pause before a failed call to the register is retried.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

impl<C: Clock, W: Send + Sync + 'static> PeerExchange<C, W> {
    /// Registers this node, and reads the register while this node is the collector.
    pub(super) async fn maintain_registration<S: FleetSource>(&self, mut source: S) {
        self.register(&mut source).await;
        self.shared.clock.sleep(FIRST_READ_DELAY).await;
        while !self.read_register(&mut source).await {
            self.shared.clock.sleep(RETRY_PAUSE).await;
        }
        let mut era = self.view.era();
        loop {
            let spread = READ_INTERVAL.mul_f64(0.5 + self.shared.random_share());
            let deadline = self.shared.clock.now() + spread;
            let changed = until(&self.shared.clock, deadline, self.view.era_after(era)).await;
            if let Some(new_era) = changed {
                // The rows of all nodes may be missing: the nodes spread their writes over time.
                let spread = REREGISTER_SPREAD.mul_f64(self.shared.random_share());
                self.shared.clock.sleep(spread).await;
                era = new_era;
                self.register(&mut source).await;
                if self.exchange.borrow().is_collector() {
                    self.verdicts.queue_blocked();
                }
            } else if self.exchange.borrow().is_collector() {
                self.read_register(&mut source).await;
            }
        }
    }

    /// Writes this node's row, and retries until the store accepts it.
    async fn register<S: FleetSource>(&self, source: &mut S) {
        loop {
            let registered = source.register(&self.own_entry).await;
            self.record_call(registered.is_ok());
            let Err(error) = registered else {
                return;
            };
            LogLine::new("register_failed")
                .with("error", error)
                .warn(&self.shared.log);
            self.shared.clock.sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the register. Returns whether that succeeded.
    async fn read_register<S: FleetSource>(&self, source: &mut S) -> bool {
        let nodes = source.read_register().await;
        self.record_call(nodes.is_ok());
        match nodes {
            Ok(register) => {
                self.exchange.borrow_mut().set_nodes(register.nodes);
                self.has_register.set(true);
                self.shared.origins().set_nodes_known();
                self.verdicts.apply(&register.verdicts);
                true
            }
            Err(error) => {
                LogLine::new("register_unread")
                    .with("error", error)
                    .warn(&self.shared.log);
                false
            }
        }
    }

    fn record_call(&self, is_ok: bool) {
        record_source_call(&self.shared, CallTopic::Nodes, CallCause::Register, is_ok);
    }
}
