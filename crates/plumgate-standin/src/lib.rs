//! Stand-ins for what plumgate meets: model engines, plain services and the platform, each
//! with faults that a test switches on over HTTP, and a load tool that measures.

#![forbid(unsafe_code)]

pub mod engine;
pub mod http;
pub mod link;
pub mod load;
pub mod platform;
pub mod service;
