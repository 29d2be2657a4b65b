//! A connection that the host has admitted.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use super::Clients;
use crate::connection::Activity;

/// An open connection; dropping the last reference ends what is held for it.
#[derive(Debug)]
pub struct OpenConnection {
    pub(super) clients: Arc<Clients>,
    pub(super) number: u64,
    /// What happens on it.
    pub activity: Arc<Activity>,
    pub(super) evicted: CancellationToken,
}

impl OpenConnection {
    /// Waits until the connection is evicted.
    pub async fn wait_evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Whether the connection is being evicted; what arrives on it from then on is not carried out.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.clients.remove(self.number);
    }
}
