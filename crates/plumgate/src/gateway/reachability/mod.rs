//! Which backend servers this node reaches, as opposed to which servers run: a node that has lost its links to
//! servers must not take its own view of the network for the state of the fleet. It sends its requests through
//! another node that still reaches them.

mod path_table;
mod tunnel_messages;
mod tunnel_peers;

pub use path_table::{DirectResult, PathChange, PathDoubt, PathLoss, PathPlan, PathTable};
pub use tunnel_messages::{
    MAX_TUNNEL_REQUEST_BYTES, ServerRef, TunnelGate, TunnelOrder, TunnelRefusal, TunnelReply,
    TunnelUser,
};
pub use tunnel_peers::{TunnelPeers, TunnelResult};
