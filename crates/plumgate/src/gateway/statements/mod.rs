//! Statements of backend servers about themselves in their answers: rate limits, that they leave, and for how
//! long they want no requests. They apply to every request to the server, whatever the store or other nodes
//! report.

mod notices;
mod statement;
mod table;
mod telling;

pub use notices::{NoticeChange, NoticeTable, RestNotice, ServerAvailability};
pub use statement::{LeaveStatement, RestStatement, ServerStatement};
pub use table::{AnswerTimes, SendContext, SendRefusal, ServerStatements};
pub use telling::LeaveEvent;
pub(crate) use telling::LeaveReport;
