//! Tokens that prove themselves.
//!
//! A stand-in engine's token is made of a hash of the prompt, the seed and its place, and of the weight version that made
//! it. Whoever knows the prompt can tell a whole answer from one with a gap, a repeat or another request's tokens, and
//! can read off which version made each token.

use saddlerelay_types::identity::WeightVersion;
use saddlerelay_types::request::{Generation, VersionSpan, extend_spans};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const VERSION_BITS: u32 = 12;
const VERSION_MASK: u32 = (1 << VERSION_BITS) - 1;

/// Engines use this many different seeds: whoever does not know a seed can try them all.
pub const SEEDS: u64 = 1 << 10;

/// The token at `place`, made by `version`.
pub fn token(prompt: &str, seed: u64, place: u32, version: WeightVersion) -> u32 {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), (seed % SEEDS) ^ (u64::from(place) << 32)) as u32;
    (hash & !VERSION_MASK) | (version.0 as u32 & VERSION_MASK)
}

/// The version that made `token`, as far as its bits go.
pub fn version_of(token: u32) -> WeightVersion {
    WeightVersion(u64::from(token & VERSION_MASK))
}

/// How many tokens the whole answer has: most are short, a few run far longer.
pub fn answer_length(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), !(seed % SEEDS));
    let uniform = (hash % 10_000) as f64 / 10_000.0;
    let share = 0.15 + 0.85 * uniform.powi(4);
    ((f64::from(max_tokens) * share) as u32).max(1)
}

/// A token as text.
pub fn token_text(token: u32) -> String {
    format!(" {token:x}")
}

/// The tokens of a text.
pub fn tokens_of(text: &str) -> Option<Vec<u32>> {
    text.split_whitespace().map(|word| u32::from_str_radix(word, 16).ok()).collect()
}

/// The versions that made `tokens`, as the tokens show.
pub fn spans_of(tokens: &[u32]) -> Vec<VersionSpan> {
    let mut spans = Vec::new();
    for token in tokens {
        extend_spans(&mut spans, version_of(*token), 1);
    }
    spans
}

/// What is wrong with `tokens` as the answer to `prompt`, if anything.
pub fn answer_fault(prompt: &str, seed: u64, max_tokens: u32, tokens: &[u32]) -> Option<String> {
    let expected = answer_length(prompt, seed, max_tokens) as usize;
    for (place, found) in tokens.iter().enumerate() {
        if *found != token(prompt, seed, place as u32, version_of(*found)) {
            return Some(format!("token {place} does not belong there"));
        }
    }
    (tokens.len() != expected).then(|| format!("{} tokens, not {expected}", tokens.len()))
}

/// Whether `tokens` are a whole answer to `prompt` under any seed.
pub fn is_whole_under_any_seed(prompt: &str, max_tokens: u32, tokens: &[u32]) -> bool {
    (0..SEEDS).any(|seed| answer_fault(prompt, seed, max_tokens, tokens).is_none())
}

/// What is wrong with a generation's named versions, if anything.
pub fn version_fault(generation: &Generation) -> Option<String> {
    let shown = spans_of(&generation.tokens);
    (shown != generation.versions).then(|| format!("names {:?}, tokens show {shown:?}", generation.versions))
}
