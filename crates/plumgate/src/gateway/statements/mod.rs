//! Statements that backend servers make about themselves in their answers: a rate limit, a notice that the
//! server is leaving and soon stops serving, a notice that it is brittle, and a notice that it rests, which means that it wants no requests
//! from this node for some time. They apply to every request to the server, whatever the store or other nodes
//! report.

mod brittle_table;
mod leave_reports;
mod notice_table;
mod server_statements;
mod statement;

pub(crate) use brittle_table::{BrittleReport, STATEMENT_RETENTION};
pub use brittle_table::{BrittleTable, RejectionLimit};
pub(crate) use leave_reports::LeaveReport;
pub use leave_reports::{LeaveEvent, ReportedEvents};
pub use notice_table::{NoticeChange, NoticeTable, RestNotice, ServerAvailability};
pub use server_statements::{AnswerTimes, SendContext, SendRefusal, ServerStatements};
pub use statement::{BrittleStatement, LeaveStatement, RestStatement, ServerStatement};
