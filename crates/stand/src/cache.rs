//! Prefix cache of an engine: blocks of prompt tokens in limited memory, evicted in
//! least-recently-used order.

use std::collections::{BTreeMap, HashMap};

type Block = (u64, u32);

/// Prompt as the cache sees it.
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
    stamps: HashMap<Block, u64>,
    order: BTreeMap<u64, Block>,
    next: u64,
}

impl Cache {
    /// Returns an empty cache of `capacity` blocks of `block_tokens` tokens each.
    pub fn new(block_tokens: u32, capacity: usize) -> Cache {
        Cache {
            block_tokens: block_tokens.max(1),
            capacity,
            stamps: HashMap::new(),
            order: BTreeMap::new(),
            next: 0,
        }
    }

    /// Returns the number of leading prompt tokens that are cached, and marks their blocks
    /// as used.
    ///
    /// The last prompt token is never counted, since the first output token is computed
    /// from it.
    pub fn lookup(&mut self, prompt: &Prompt) -> u32 {
        let blocks = self.blocks(prompt);
        let hits =
            (0..blocks).take_while(|&i| self.stamps.contains_key(&self.block(prompt, i))).count();
        self.touch(prompt, hits as u32);
        (hits as u32 * self.block_tokens).min(prompt.tokens.saturating_sub(1))
    }

    /// Stores all whole blocks of a prompt.
    pub fn insert(&mut self, prompt: &Prompt) {
        // A longer prompt than the memory keeps its leading blocks only.
        let blocks = self.blocks(prompt).min(u32::try_from(self.capacity).unwrap_or(u32::MAX));
        self.touch(prompt, blocks);
        while self.stamps.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else { return };
            self.stamps.remove(&block);
        }
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.stamps.clear();
        self.order.clear();
    }

    fn blocks(&self, prompt: &Prompt) -> u32 {
        prompt.tokens / self.block_tokens
    }

    fn block(&self, prompt: &Prompt, index: u32) -> Block {
        let end = (u64::from(index) + 1) * u64::from(self.block_tokens);
        let shared = end <= u64::from(prompt.prefix_tokens);
        (if shared { prompt.prefix } else { prompt.full }, index)
    }

    /// Marks the first `count` blocks as used, the last one first: a block is of no use
    /// without those before it, so the end of a prompt is evicted before its start.
    fn touch(&mut self, prompt: &Prompt, count: u32) {
        for index in (0..count).rev() {
            let block = self.block(prompt, index);
            self.next += 1;
            if let Some(old) = self.stamps.insert(block, self.next) {
                self.order.remove(&old);
            }
            self.order.insert(self.next, block);
        }
    }
}
