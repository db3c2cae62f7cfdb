//! Rendezvous hashing: who has a duty, from the names alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `node` for `key`; the highest weight has the duty.
#[must_use]
pub fn score(key: &[u8], node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key, 0))
}

/// Orders `nodes` by falling weight for `key`; ties by name.
#[must_use]
pub fn rank<T: AsRef<str>>(key: &[u8], nodes: impl IntoIterator<Item = T>) -> Vec<T> {
    let mut order: Vec<(u64, T)> = nodes
        .into_iter()
        .map(|node| (score(key, node.as_ref()), node))
        .collect();
    order.sort_by(|(a, left), (b, right)| b.cmp(a).then_with(|| left.as_ref().cmp(right.as_ref())));
    order.into_iter().map(|(_, node)| node).collect()
}
