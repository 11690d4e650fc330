//! Calls to an outside party that one node at a time may make: reports of usage, and orders of backend servers.
//!
//! The party remembers nothing for us and may not check who calls. What must hold lies in the store's row of the
//! lease: who holds it, under which number, and which reports may have been sent.

mod agreed_clock;
mod holder;
mod order_book;
mod report_desk;
mod row;
mod scale;
mod seat;
mod usage;

pub use agreed_clock::{AgreedClock, ClockNews, UnixMillis};
pub use holder::{DutyHolder, DutyTimes, HolderEvent};
pub use order_book::OrderBook;
pub use report_desk::{ReportDesk, ReportTimes, WindowEnd, WindowId, WindowState};
pub use row::{
    DutyAnswer, DutyCall, DutyContents, DutyCredential, DutyIdentity, DutyRow, DutyWrite, UsageNote,
};
pub use scale::{
    FollowLoad, FollowOptions, PoolLoad, PoolScaling, PriceMillis, ScaleOrder, ScalePolicy,
    ScaleSubject, ServerKind, SiteLoad, StandStill, WantedServers,
};
pub use seat::{DutySeat, SeatMoment, SeatOptions};
pub use usage::{UsageBook, UsageCounts, UsageNews, UsageReport, UsageTally, workspace_key};
