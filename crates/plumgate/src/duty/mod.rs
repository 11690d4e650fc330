//! Duties: calls to the duty API, an external service, that only one node at a time may make. They are usage
//! reports and orders of backend servers.
//!
//! The duty API stores no state for the nodes and does not necessarily check which node calls. The state that has
//! to survive a change of holder is in the lease row in the store: the holder, its fencing number, and the reports that
//! may have been sent.

mod agreed_clock;
mod coordinator;
mod holder;
mod order_tracker;
mod row;
mod scale;
mod usage;
mod usage_reporter;

pub use agreed_clock::{AgreedClock, ClockReport, UnixMillis};
pub use coordinator::{CoordinatorOptions, DutyCoordinator, DutyMoment};
pub use holder::{DutyHolder, DutyTimes, HolderEvent};
pub use order_tracker::OrderTracker;
pub use row::{
    DutyAnswer, DutyCall, DutyContents, DutyCredential, DutyIdentity, DutyRow, DutyWrite, UsageNote,
};
pub use scale::{
    CapacityType, DataCentreServers, LoadScaling, LoadScalingOptions, NoScaling, PoolLoad,
    PoolScaling, PriceMillis, ScaleOrder, ScalePolicy, ScaleSubject, WantedServers,
};
pub use usage::{UsageCounts, UsageReport, UsageTable, UsageTally, UsageUpdate, workspace_key};
pub use usage_reporter::{ReportTimes, UsageReporter, WindowId, WindowOutcome, WindowState};
