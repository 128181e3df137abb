//! Prefix cache of an engine: blocks of prompt tokens in limited memory, evicted in
//! least-recently-used order.

use std::collections::{BTreeMap, HashMap};

/// Key of a block: a hash and the index of the block in its prompt. The hash is that of the shared
/// prefix or, if the block does not lie within the prefix, that of the whole prompt.
type Block = (u64, u32);

/// Size of a prompt and hashes of its text.
///
/// Two prompts with equal `prefix` share their first `prefix_tokens` tokens; two prompts
/// with equal `full` share all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    pub tokens: u32,
    pub prefix_tokens: u32,
    pub prefix: u64,
    pub full: u64,
}

/// Set of cached blocks.
#[derive(Debug)]
pub struct Cache {
    block_tokens: u32,
    capacity: usize,
    last_used: HashMap<Block, u64>,
    by_last_use: BTreeMap<u64, Block>,
    use_counter: u64,
}

impl Cache {
    /// Returns an empty cache of `capacity` blocks of `block_tokens` tokens each.
    pub fn new(block_tokens: u32, capacity: usize) -> Cache {
        Cache {
            block_tokens: block_tokens.max(1),
            capacity,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_counter: 0,
        }
    }

    /// Returns the number of leading prompt tokens that are cached, and marks their blocks
    /// as recently used.
    ///
    /// The last prompt token is never counted: it has to be computed to generate the first
    /// output token.
    pub fn lookup(&mut self, prompt: &Prompt) -> u32 {
        let blocks = self.full_block_count(prompt);
        let hits = (0..blocks)
            .take_while(|&i| self.last_used.contains_key(&self.block_key(prompt, i)))
            .count();
        self.mark_used(prompt, hits as u32);
        (hits as u32 * self.block_tokens).min(prompt.tokens.saturating_sub(1))
    }

    /// Stores all full blocks of a prompt.
    pub fn insert(&mut self, prompt: &Prompt) {
        // Of a prompt larger than the cache, only the leading blocks are stored.
        let blocks =
            self.full_block_count(prompt).min(u32::try_from(self.capacity).unwrap_or(u32::MAX));
        self.mark_used(prompt, blocks);
        while self.last_used.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else { return };
            self.last_used.remove(&block);
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_last_use.clear();
    }

    fn full_block_count(&self, prompt: &Prompt) -> u32 {
        prompt.tokens / self.block_tokens
    }

    fn block_key(&self, prompt: &Prompt, index: u32) -> Block {
        let end = (u64::from(index) + 1) * u64::from(self.block_tokens);
        let shared = end <= u64::from(prompt.prefix_tokens);
        (if shared { prompt.prefix } else { prompt.full }, index)
    }

    /// Marks the first `count` blocks as recently used, the last one first: a block can only
    /// be used with all blocks before it, so the end of a prompt is evicted first.
    fn mark_used(&mut self, prompt: &Prompt, count: u32) {
        for index in (0..count).rev() {
            let block = self.block_key(prompt, index);
            self.use_counter += 1;
            if let Some(previous_use) = self.last_used.insert(block, self.use_counter) {
                self.by_last_use.remove(&previous_use);
            }
            self.by_last_use.insert(self.use_counter, block);
        }
    }
}
