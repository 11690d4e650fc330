//! Suspects that explain the crashes of servers.

use std::collections::HashMap;

use super::identity::RequestIdentity;
use super::record::SuspectRecord;
use super::rule::SuspectState;
use crate::gateway::exchange::messages::ServerKey;

/// Number of times that the crashes of a suspect may outnumber those of another one that explains them.
const MAX_STRENGTH_RATIO: usize = 2;

/// Suspects whose own crashes suffice to block them, by the servers that crashed under them.
#[derive(Debug, Default)]
pub(crate) struct BlameIndex {
    by_server: HashMap<ServerKey, Vec<BlamedSuspect>>,
}

/// Suspect in the index.
#[derive(Clone, Copy, Debug)]
struct BlamedSuspect {
    identity: RequestIdentity,
    /// Number of servers that crashed under it.
    servers: usize,
}

impl BlameIndex {
    /// Creates the index of all records.
    pub(crate) fn new(records: &HashMap<RequestIdentity, SuspectRecord>) -> Self {
        let mut by_server: HashMap<ServerKey, Vec<BlamedSuspect>> = HashMap::new();
        let blocked = records
            .iter()
            .filter(|(_, record)| record.own == SuspectState::Blocked);
        for (identity, record) in blocked {
            let suspect = BlamedSuspect {
                identity: *identity,
                servers: record.history.servers().count(),
            };
            for server in record.history.servers() {
                by_server.entry(server).or_default().push(suspect);
            }
        }
        Self { by_server }
    }

    /// Returns the other suspects that may explain the crash of a server under a suspect with crashes of `servers`
    /// servers. Many suspects with a few crashes each, such as rare parts of prompts that hold the one to blame, explain
    /// nothing together. Requests don't explain each other, as two of them rarely run on the same servers often enough.
    pub(crate) fn others(
        &self,
        server: ServerKey,
        identity: RequestIdentity,
        servers: usize,
    ) -> impl Iterator<Item = RequestIdentity> {
        let suspects = self.by_server.get(&server).into_iter().flatten();
        let others = suspects.filter(move |other| {
            other.identity != identity
                && other.servers * MAX_STRENGTH_RATIO >= servers
                && (other.identity.is_prompt_part() || identity.is_prompt_part())
        });
        others.map(|other| other.identity)
    }
}
