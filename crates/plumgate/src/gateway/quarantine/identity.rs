//! What makes two requests the same one, sent again.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::ids::WorkspaceId;

/// Separates the parts of a head in the digest, so that no two heads run together alike.
const SEPARATOR: &[u8] = b"\n";

/// Names a request by what it says, not by the id of its attempt, which is another one each time that it
/// is sent.
///
/// The workspace is kept apart from the content: whoever finds two contents with one digest has found
/// two requests of its own, and can't pass for another workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// The digest of the workspace's id; of nothing where the route asks for no key.
    workspace: u64,
    /// The digest of method, host, path and body.
    content: u128,
}

/// The head of a request, as far as it is part of its identity.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The workspace that sent it, where that is known.
    pub workspace: Option<&'a WorkspaceId>,
    /// The method.
    pub method: &'a str,
    /// The host that it names, without a port.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
}

/// Works out a request's identity while its body comes in, so that the body is read only once.
pub struct IdentityHasher {
    workspace: u64,
    content: Xxh3,
}

impl IdentityHasher {
    /// A request whose head has come.
    pub fn new(head: RequestHead<'_>) -> Self {
        let workspace = head.workspace.map_or(&[][..], |id| id.as_bytes());
        let mut content = Xxh3::new();
        let host = head.host.to_ascii_lowercase();
        for part in [head.method, &host, head.path] {
            content.update(part.as_bytes());
            content.update(SEPARATOR);
        }
        Self {
            workspace: xxh3_64(workspace),
            content,
        }
    }

    /// The next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.content.update(bytes);
    }

    /// The identity, once the whole body has come.
    pub fn finish(&self) -> RequestIdentity {
        RequestIdentity {
            workspace: self.workspace,
            content: self.content.digest128(),
        }
    }
}

impl RequestIdentity {
    /// Whether two requests are of one workspace.
    pub(crate) fn is_of_workspace(&self, other: &Self) -> bool {
        self.workspace == other.workspace
    }

    /// The whole of it as a text, by which it is kept.
    pub(crate) fn name(&self) -> String {
        format!("{:016x}{:032x}", self.workspace, self.content)
    }

    /// A number by which nodes are ranked for it.
    pub(crate) fn rank_seed(&self) -> u64 {
        self.content as u64
    }
}

impl fmt::Display for RequestIdentity {
    /// The part that logs show and operators name it by.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.content as u64)
    }
}
