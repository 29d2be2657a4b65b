//! Idle connections to upstreams, never more than the slots held there.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

/// The body of a request to an upstream: kept whole, or passed on as it comes.
pub type Outgoing = Either<Full<Bytes>, Incoming>;

/// A connection to an upstream.
pub type Connection = SendRequest<Outgoing>;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Connection>>,
}

impl Pool {
    /// An idle connection that is still open.
    pub fn take(&mut self, at: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&at)?;
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection unless `most` are idle already.
    pub fn put(&mut self, at: SocketAddr, connection: Connection, most: usize) {
        let idle = self.idle.entry(at).or_default();
        idle.retain(|c| !c.is_closed());
        if idle.len() < most {
            idle.push(connection);
        }
    }

    /// Closes idle connections above `most`.
    pub fn shrink(&mut self, at: SocketAddr, most: usize) {
        if let Some(idle) = self.idle.get_mut(&at) {
            idle.truncate(most);
        }
    }
}
