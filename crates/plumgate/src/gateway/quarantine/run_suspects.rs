//! What may be to blame if a server crashes while it runs a request.

use std::sync::Arc;

use super::identity::RequestIdentity;
use crate::gateway::prompt::PromptShape;

/// Maximum number of prompt parts that are tracked for one request; further parts are ignored.
const MAX_PARTS: usize = 32;

/// Request and the parts of its prompt that it shares with other requests: any of them may crash servers. The last
/// part belongs to the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSuspects {
    request: RequestIdentity,
    parts: Arc<[RequestIdentity]>,
}

impl RunSuspects {
    /// Creates the suspects of a request without a prompt.
    pub fn new(request: RequestIdentity) -> Self {
        Self {
            request,
            parts: Arc::default(),
        }
    }

    /// Adds the shared parts of the request's prompt.
    pub fn with_prompt(self, prompt: &PromptShape) -> Self {
        let shared = prompt.shared().iter().take(MAX_PARTS);
        let mut parts: Vec<RequestIdentity> = Vec::with_capacity(shared.len());
        for part in shared {
            let identity = RequestIdentity::of_prompt_part(*part);
            if !parts.contains(&identity) {
                parts.push(identity);
            }
        }
        Self {
            parts: parts.into(),
            ..self
        }
    }

    /// Returns the identity of the request.
    pub fn request(&self) -> RequestIdentity {
        self.request
    }

    /// Returns the identities of the shared parts of its prompt.
    pub fn parts(&self) -> &[RequestIdentity] {
        &self.parts
    }

    /// Returns the identities of the request and of the parts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RequestIdentity> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    /// Returns whether the request or one of the parts has this identity.
    pub(crate) fn contains(&self, identity: RequestIdentity) -> bool {
        self.iter().any(|suspect| suspect == identity)
    }
}

impl From<RequestIdentity> for RunSuspects {
    fn from(request: RequestIdentity) -> Self {
        Self::new(request)
    }
}

impl From<&RunSuspects> for RunSuspects {
    fn from(suspects: &RunSuspects) -> Self {
        suspects.clone()
    }
}
