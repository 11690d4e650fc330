//! What backend servers say of themselves in their answers: limits, that they leave, and for how long they want no
//! requests. It binds every request to them, whatever rows of the store or other nodes say.

mod notices;
mod statement;
mod table;
mod telling;

pub use notices::{NoticeBook, NoticeChange, RestNotice, ServerStanding};
pub use statement::{LeaveStatement, RestStatement, ServerStatement};
pub use table::{AnswerTimes, SendMoment, SendRefusal, ServerStatements};
pub use telling::LeaveEvent;
pub(crate) use telling::LeaveReport;
