//! Which request is served next, where, and which one is refused.

mod dispatcher;
mod queue;
mod service_time;
mod ticket;

pub use dispatcher::{AttemptEnd, DispatchOptions, Dispatcher};
pub use queue::QueuePolicy;
pub use ticket::{DispatchAction, QueueLoad, RefusalReason, RequestTicket, StartOrder};
