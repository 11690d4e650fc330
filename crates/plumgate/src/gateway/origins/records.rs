//! Records of the origins of streams, bounded in number and time.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::origin::{StreamKey, StreamOrigin};
use crate::gateway::rate_limit::BootTime;
use crate::ids::ServerId;

/// Time for which a record is kept: twice the longest life of a stream.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of records; the oldest are dropped first. A node of a large fleet makes some 1,600 within the
/// retention and holds three times as many of others.
const MAX_RECORDS: usize = 16_384;

/// Where a record comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// This node passed on the first event of the stream, which came from a server.
    Own(ServerId),
    /// Another node sent it, which has this address.
    Held(SocketAddr),
}

/// Record of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OriginRecord {
    /// The origin; `None` if it is in doubt.
    pub(crate) origin: Option<StreamOrigin>,
    /// Pool of the server that began the stream, as a digest.
    pub(crate) pool: u32,
    /// When the first event was passed on.
    pub(crate) began_at: BootTime,
    /// Where it comes from.
    pub(crate) source: RecordSource,
}

/// Records by stream.
#[derive(Debug, Default)]
pub(crate) struct OriginRecords {
    records: HashMap<StreamKey, OriginRecord>,
    /// Keys in the order of their insertion, with the time of it.
    order: VecDeque<(BootTime, StreamKey)>,
}

impl OriginRecords {
    /// Returns the record of a stream.
    pub(crate) fn get(&self, key: StreamKey) -> Option<&OriginRecord> {
        self.records.get(&key)
    }

    /// Adds a record. Returns whether that is new or changes what was known. Two streams under one key with different
    /// origins leave both in doubt.
    pub(crate) fn insert(&mut self, key: StreamKey, record: OriginRecord, now: BootTime) -> bool {
        if let Some(known) = self.records.get_mut(&key) {
            if known.origin == record.origin || known.origin.is_none() {
                return false;
            }
            known.origin = None;
            return true;
        }
        self.remove_expired(now);
        while self.records.len() >= MAX_RECORDS {
            let Some((_, oldest)) = self.order.pop_front() else {
                break;
            };
            self.records.remove(&oldest);
        }
        self.order.push_back((now, key));
        self.records.insert(key, record);
        true
    }

    /// Puts the streams in doubt that a server began at a time or later, and returns their keys.
    pub(crate) fn doubt(&mut self, server: &ServerId, since: BootTime) -> Vec<StreamKey> {
        let mut keys = Vec::new();
        for (key, record) in &mut self.records {
            let is_of_server = record.source == RecordSource::Own(server.clone());
            if is_of_server && record.began_at >= since && record.origin.take().is_some() {
                keys.push(*key);
            }
        }
        keys
    }

    /// Returns all records.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (StreamKey, &OriginRecord)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    /// Removes the records whose time is over.
    pub(crate) fn remove_expired(&mut self, now: BootTime) {
        while let Some((at, key)) = self.order.front().copied() {
            if now.saturating_sub(at) <= RETENTION {
                return;
            }
            self.order.pop_front();
            self.records.remove(&key);
        }
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }
}
