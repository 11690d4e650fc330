//! Queueing, admission, preemption and dispatch of requests to backend servers.

mod dispatcher;
mod permit_queue;
mod queue;
mod service_time;
mod ticket;

pub use dispatcher::{AttemptOutcome, DispatchOptions, Dispatcher};
pub use queue::QueuePolicy;
pub use ticket::{DispatchAction, QueueLoad, RefusalReason, RequestTicket, StartOrder};
