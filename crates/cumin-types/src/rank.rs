//! Rendezvous hashing: selects the node responsible for a key from the names alone, so that nodes
//! with the same list agree without communicating.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `node` for `key`; the node with the highest weight is responsible.
#[must_use]
pub fn score(key: &[u8], node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key, 0))
}

/// Returns `nodes` in descending order of their weight for `key`, equal weights by name.
#[must_use]
pub fn rank<T: AsRef<str>>(key: &[u8], nodes: impl IntoIterator<Item = T>) -> Vec<T> {
    let mut order: Vec<(u64, T)> = nodes
        .into_iter()
        .map(|node| (score(key, node.as_ref()), node))
        .collect();
    order.sort_by(|(a, left), (b, right)| b.cmp(a).then_with(|| left.as_ref().cmp(right.as_ref())));
    order.into_iter().map(|(_, node)| node).collect()
}
