//! Identity of a request, by which a retry is recognised.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::gateway::exchange::SumKey;
use crate::gateway::prompt::PromptPart;
use crate::ids::WorkspaceId;

/// Separates the parts of a head in the digest, so that different heads don't concatenate to the same bytes.
const SEPARATOR: &[u8] = b"\n";
/// Takes the place of the workspace in the identity of a prompt part; ids of workspaces contain no control characters.
const PART_NAMESPACE: &[u8] = b"\0prompt part";

/// Identity of a request by its content. The id of the attempt can't serve as identity, as it differs at each
/// retry.
///
/// The workspace has a digest of its own: a caller that constructs a collision of the content digest only
/// confuses two requests of its own workspace and can't impersonate another workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// Digest of the workspace's id; of the empty string if the route requires no key.
    workspace: u64,
    /// Digest of method, host, path and body.
    content: u128,
}

/// Head of a request, as far as it is part of the identity.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Workspace that sent the request, if known.
    pub workspace: Option<&'a WorkspaceId>,
    /// HTTP method.
    pub method: &'a str,
    /// Host named by the request, without a port.
    pub host: &'a str,
    /// Path with the query.
    pub path: &'a str,
}

/// Computes a request's identity while the body arrives, so that the body is read only once.
pub struct IdentityHasher {
    workspace: u64,
    content: Xxh3,
}

impl IdentityHasher {
    /// Creates a hasher for a request whose head has arrived.
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

    /// Adds the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.content.update(bytes);
    }

    /// Returns the identity, once the whole body has been added.
    pub fn finish(&self) -> RequestIdentity {
        RequestIdentity {
            workspace: self.workspace,
            content: self.content.digest128(),
        }
    }
}

impl RequestIdentity {
    /// Returns whether two requests are of the same workspace.
    pub(crate) fn has_same_workspace(&self, other: &Self) -> bool {
        self.workspace == other.workspace
    }

    /// Returns the identity of a prompt part. It is the same for all workspaces, as a part that crashes servers does
    /// so whoever sends it.
    pub(crate) fn of_prompt_part(part: PromptPart) -> Self {
        Self {
            workspace: xxh3_64(PART_NAMESPACE),
            content: u128::from(part.id),
        }
    }

    /// Returns whether this is the identity of a prompt part rather than of a whole request.
    pub fn is_prompt_part(&self) -> bool {
        self.workspace == xxh3_64(PART_NAMESPACE)
    }

    /// Returns what it identifies, as named in logs and on the operators' page.
    pub fn kind(&self) -> &'static str {
        if self.is_prompt_part() {
            "part"
        } else {
            "request"
        }
    }

    /// Returns the full identity in hexadecimal, which names the request's verdict in the store.
    pub(crate) fn name(&self) -> String {
        format!("{:016x}{:032x}", self.workspace, self.content)
    }

    /// Returns the digest by which nodes report the request to each other.
    pub fn sum_key(&self) -> SumKey {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.workspace.to_le_bytes());
        bytes[8..].copy_from_slice(&self.content.to_le_bytes());
        xxh3_64(&bytes) as SumKey
    }

    /// Returns the seed by which nodes are ranked for the request.
    pub(crate) fn rank_seed(&self) -> u64 {
        self.content as u64
    }
}

impl fmt::Display for RequestIdentity {
    /// Writes the digest by which logs show the request and operators name it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.content as u64)
    }
}
