//! Backend servers that name the rate of requests that they take from all nodes together.
//!
//! A limit is learnt from the answers of its server, and told to all nodes. One node issues the permits of a
//! server to all: the collector of the server's data centre, while most nodes there follow it. Each
//! request to a limited server needs a permit, whatever makes a node send it.

mod book;
mod desk;
mod issuer;
mod messages;
mod observed;
mod statement;
mod table;
mod talk;
mod votes;

pub use desk::{ANSWER_TIMEOUT, ASK_AGAIN, SendPermit};
pub use messages::AskId;
pub(crate) use messages::StatementMessage;
pub use observed::{BootTime, LimitChange, LimitSighting};
pub use statement::{RateStatement, RequestRate};
pub use table::{LimitEvent, SendClaim, ServerLimits};
pub use talk::{MailMoment, MailOutcome};
