//! What the nodes tell each other of their work, and who collects it.

pub(crate) mod messages;

mod load_exchange;
mod nodes;
mod peers;
mod places;
mod told;

pub use load_exchange::{
    ClockSpeaker, ExchangePacket, HeardClock, HeardNotice, HeardUsage, LoadExchange, TalkMoment,
};
pub use messages::{PartPlace, PoolDemand};
pub use nodes::{NodeCapacity, NodeEntry};
