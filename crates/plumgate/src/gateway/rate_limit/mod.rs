//! Rate limits that backend servers set for the requests of all nodes together.
//!
//! A node learns a limit from the answers of the server and reports it to all nodes. One node issues the
//! permits for a server to the whole fleet: the collector of the server's data centre, as long as a majority
//! of the nodes there follow it. Every request to a limited server needs a permit, including retries and
//! resumed streams.

mod book;
mod desk;
mod issuer;
mod messages;
mod observed;
mod statement;
mod table;
mod talk;
mod votes;

pub use desk::{PERMIT_RESEND_INTERVAL, PERMIT_TIMEOUT, SendPermit};
pub use messages::PermitRequestId;
pub(crate) use messages::StatementMessage;
pub use observed::{BootTime, LimitChange, LimitObservation};
pub use statement::{RateStatement, RequestRate};
pub use table::{LimitEvent, PermitStatus, ServerLimits};
pub use talk::{MessageOutcome, MessageTime};
