//! Rendezvous hashing: assigns keys to nodes without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `node` for `key`; the node with the highest weight gets the key.
pub fn rank(node: &str, key: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// The node that gets `key`, none without nodes; removing a node moves only its own keys.
pub fn winner<'a>(nodes: impl IntoIterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    nodes.into_iter().max_by_key(|n| (rank(n, key), *n))
}
