//! Requests that end the backend servers that run them: what tells them apart, and when no server gets
//! them any more.

mod identity;

pub use identity::{IdentityHasher, RequestHead, RequestIdentity};
