//! A retry that is paid from the fleet's budget and not sent yet.

use std::sync::Arc;

use plumgate::ids::PoolId;

use super::shared::GatewayShared;
use crate::clock::Clock;

/// Payment for one retry. It is paid back when it is dropped before the retry was sent.
pub(crate) struct RetryPayment<C: Clock, W> {
    shared: Arc<GatewayShared<C, W>>,
    pool: PoolId,
    is_sent: bool,
}

impl<C: Clock, W> RetryPayment<C, W> {
    /// Creates the payment for a retry that was withdrawn from the budget.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>, pool: PoolId) -> Self {
        Self {
            shared,
            pool,
            is_sent: false,
        }
    }

    /// Records that the retry is sent now.
    pub(crate) fn record_sent(mut self) {
        let now = self.shared.clock.boot_time();
        self.shared.budget().record_sent(&self.pool, now);
        self.is_sent = true;
    }
}

impl<C: Clock, W> Drop for RetryPayment<C, W> {
    fn drop(&mut self) {
        if !self.is_sent {
            let now = self.shared.clock.boot_time();
            self.shared.budget().refund(&self.pool, now);
        }
    }
}
