//! Stand-ins for the systems that plumgate connects to (model engines, plain services and the platform), each with
//! faults that a test injects over HTTP, and a load tool that measures attainment, goodput and wasted work.

#![forbid(unsafe_code)]

pub mod caller_crowd;
pub mod engine;
pub mod http;
pub mod link;
pub mod load;
pub mod platform;
pub mod reserved_port;
pub mod service;
