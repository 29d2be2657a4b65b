//! Bytes that are held for one request.

use std::sync::Arc;

use derive_more::{Display, Error};
use tokio::time::{Instant, timeout};

use myrtle_meter::Meter;

use super::{OpenConnection, ROOM_LIMIT, Room};

/// There is no room for more bytes of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the host holds as much for clients as it may")]
pub struct NoRoom;

/// Bytes that are counted for a connection until they are dropped.
#[derive(Debug)]
pub struct Charge {
    connection: Arc<OpenConnection>,
    bytes: usize,
}

impl Charge {
    /// No bytes of a connection.
    pub fn new(connection: Arc<OpenConnection>) -> Self {
        Self { connection, bytes: 0 }
    }

    /// Counts more bytes; where room is short, connections that hold much for their progress are evicted.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for them.
    pub async fn add(&mut self, bytes: usize, meter: &Meter) -> Result<(), NoRoom> {
        let clients = &self.connection.clients;
        let end = Instant::now() + ROOM_LIMIT;
        loop {
            let freed = clients.freed.notified();
            match clients.try_take(self.connection.number, bytes, meter) {
                Room::Taken => break,
                Room::Never => return Err(NoRoom),
                Room::Coming => {}
            }
            let left = end.saturating_duration_since(Instant::now());
            timeout(left, freed).await.map_err(|_| NoRoom)?;
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Gives all of the bytes back.
    pub fn clear(&mut self) {
        self.remove(self.bytes);
    }

    /// Gives some of the bytes back.
    pub fn remove(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.connection.clients.give_back(self.connection.number, bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.clear();
    }
}
