//! Messages by which the nodes exchange their load, and the choice of the collectors that aggregate it.

pub(crate) mod messages;

mod duty_messages;
mod load_exchange;
mod nodes;
mod part_locations;
mod peer_view;
mod peers;
mod reported_work;
mod sums;

pub use duty_messages::{ClockScope, DutyMessages, ReceivedClock, ReceivedUsage};
pub use load_exchange::{ExchangeMoment, ExchangePacket, LoadExchange, ReceivedNotice};
pub use messages::{PartLocation, PoolDemand};
pub use nodes::{NodeCapacity, NodeEntry};
pub use peer_view::ReceivedStatement;
pub(crate) use peer_view::{PeerAddress, PeerView};
pub use sums::{SumKey, SumRow, SumTable, SumTopic};
