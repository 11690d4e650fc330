//! Rate limits that backend servers set for the requests of all nodes together.
//!
//! A node learns a limit from the answers of the server and reports it to all nodes. One node issues the
//! permits for a server to the whole fleet: the collector of the server's data centre, as long as a majority
//! of the nodes there follow it. Every request to a limited server needs a permit, including retries and
//! resumed streams.

mod issuer;
mod limit_table;
mod messages;
mod messaging;
mod observation;
mod permit_requester;
mod server_limits;
mod statement;
mod votes;

pub use messages::PermitRequestId;
pub(crate) use messages::StatementMessage;
pub use messaging::{MessageOutcome, MessageTime};
pub use observation::{BootTime, LimitChange, LimitObservation};
pub use permit_requester::{PERMIT_RESEND_INTERVAL, PERMIT_TIMEOUT, SendPermit};
pub use server_limits::{LimitEvent, PermitStatus, ServerLimits};
pub use statement::{RateStatement, RequestRate};
