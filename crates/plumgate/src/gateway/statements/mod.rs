//! Statements of backend servers about themselves in their answers: rate limits, that they leave, and for how
//! long they want no requests. They apply to every request to the server, whatever the store or other nodes
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
