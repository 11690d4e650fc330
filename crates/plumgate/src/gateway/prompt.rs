//! What a prompt is made of, and what of it other prompts share.

use xxhash_rust::xxh3::xxh3_64;

/// Parts of fewer tokens are read again in a few milliseconds: they are not remembered, and they
/// draw no request to a server.
pub(crate) const SMALL_PART: u32 = 512;
/// One part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a prompt is made of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Its parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Tokens that the answer may have at most.
    pub output_most: u32,
}

impl PromptShape {
    /// All tokens of the prompt.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// The parts that other requests may share.
    pub(crate) fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// What requests with the same shared parts have in common.
    pub(crate) fn affinity(&self) -> Option<u64> {
        let last = self.shared().last()?;
        if last.tokens < SMALL_PART {
            return None;
        }
        Some(xxh3_64(&last.id.to_le_bytes()))
    }
}
