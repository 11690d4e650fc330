//! Statements that backend servers make about themselves in their answers: a rate limit, a notice that the
//! server is leaving and soon stops serving, and a notice that it rests, which means that it wants no requests
//! from this node for some time. They apply to every request to the server, whatever the store or other nodes
//! report.

mod leave_reports;
mod notice_table;
mod server_statements;
mod statement;

pub use leave_reports::LeaveEvent;
pub(crate) use leave_reports::LeaveReport;
pub use notice_table::{NoticeChange, NoticeTable, RestNotice, ServerAvailability};
pub use server_statements::{AnswerTimes, SendContext, SendRefusal, ServerStatements};
pub use statement::{LeaveStatement, RestStatement, ServerStatement};
