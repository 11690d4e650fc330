//! Parts of a prompt, and which of them other prompts share.

use xxhash_rust::xxh3::xxh3_64;

/// Size in tokens from which on a prompt part is tracked. Smaller parts are prefilled again in a few
/// milliseconds: they are not remembered and give a request no affinity to a server.
pub(crate) const MIN_TRACKED_TOKENS: u32 = 512;

/// Part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Composition of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: u32,
}

impl PromptShape {
    /// Returns the number of tokens of the prompt.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// Returns the parts that other requests may share.
    pub(crate) fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns a key that is equal for requests with the same last shared part; `None` if that part is too small
    /// to be tracked.
    pub(crate) fn affinity(&self) -> Option<u64> {
        let last = self.shared().last()?;
        if last.tokens < MIN_TRACKED_TOKENS {
            return None;
        }
        Some(xxh3_64(&last.id.to_le_bytes()))
    }
}
