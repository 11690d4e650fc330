//! Requests that are relayed now, so that the end of the process can name those that it cuts off.

use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Instant;

use plumgate::gateway::GatewayRoute;

use super::request::RelayRequest;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

/// Number of an open request, unique within the process.
pub(crate) type RequestNumber = u64;

/// Request that is relayed.
#[derive(Clone, Debug)]
struct OpenRequest {
    id: String,
    route: Arc<GatewayRoute>,
    arrived: Instant,
    due: Instant,
}

/// Requests that are relayed, oldest first.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    requests: BTreeMap<RequestNumber, OpenRequest>,
    next_number: RequestNumber,
}

impl OpenRequests {
    /// Adds a request that was accepted.
    pub(crate) fn insert(&mut self, request: &RelayRequest) -> RequestNumber {
        let number = self.next_number;
        self.next_number += 1;
        let open_request = OpenRequest {
            id: request.id.clone(),
            route: request.route.clone(),
            arrived: request.arrived,
            due: request.due,
        };
        self.requests.insert(number, open_request);
        number
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, number: RequestNumber) {
        self.requests.remove(&number);
    }

    /// Returns the number of open requests.
    pub(crate) fn count(&self) -> u64 {
        u64::try_from(self.requests.len()).unwrap_or(u64::MAX)
    }
}

impl<C, W> GatewayShared<C, W> {
    /// Returns the requests that are relayed.
    pub(crate) fn requests(&self) -> MutexGuard<'_, OpenRequests> {
        let locked = self.open_requests.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn open_requests(&self) -> u64 {
        self.requests().count()
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Logs the requests that the end of the process cuts off.
    pub(crate) fn log_cut_requests(&self) {
        let now = self.clock.now();
        for request in self.requests().requests.values() {
            let ran_for = now.saturating_duration_since(request.arrived);
            let due_in = request.due.saturating_duration_since(now);
            LogLine::new("request_cut")
                .with("request", &request.id)
                .with("route", &request.route.name)
                .with("ms", ran_for.as_millis())
                .with("due_in_ms", due_in.as_millis())
                .with_stop_age(self.stop_age(request.arrived))
                .warn(&self.log);
        }
    }
}
