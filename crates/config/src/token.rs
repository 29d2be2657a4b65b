//! Customer tokens, which are stored as hashes only.

use sha2::{Digest, Sha256};

/// The hexadecimal SHA-256 of a token, as configuration files hold it.
pub fn hash_token(token: &str) -> String {
    let hash = Sha256::digest(token.as_bytes());
    hash.iter().map(|b| format!("{b:02x}")).collect()
}
