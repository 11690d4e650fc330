//! Origins of streams: the software version whose server began one, which every continuation must keep.
//!
//! A node records the origin of each stream that it began. Others learn it from that node, from the nodes that
//! hold copies of its records, or from the history of the pool's versions, if there was only one.

mod history;
mod holders;
mod lookup;
mod lookups;
mod messages;
mod origin;
mod records;
mod stream_origins;

pub use history::{SingleVersion, VersionHistory};
pub use lookup::{LookupId, LookupState, OriginFinding, OriginSource};
pub use messages::{HistoryReport, OriginMessage, OriginPacket};
pub use origin::{OriginState, StreamKey, StreamOrigin};
pub use stream_origins::{OriginQuestion, STREAM_LIFETIME, StreamOrigins};
