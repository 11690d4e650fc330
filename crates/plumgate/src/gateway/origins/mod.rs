//! Origins of streams: the software version whose server began one, which every continuation must keep.

mod origin;

pub use origin::{OriginState, StreamOrigin};
