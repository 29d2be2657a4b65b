//! Idle connections to upstreams, never more than this gate's slots there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use myrtle_base::SilenceDetector;

/// The body of a request to an upstream, buffered or streamed.
pub type Outgoing = Either<Full<Bytes>, Incoming>;

/// A connection to an upstream.
pub type Connection = SendRequest<Outgoing>;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    addresses: HashMap<SocketAddr, Address>,
}

/// Idle connections to one address, each with the time of its last answer, and whether they may
/// have gone silent.
#[derive(Debug, Default)]
struct Address {
    idle: Vec<(Connection, Instant)>,
    doubt: SilenceDetector,
}

impl Pool {
    /// Takes an idle connection that is still open and not in doubt.
    pub fn take(&mut self, at: SocketAddr) -> Option<Connection> {
        let address = self.addresses.get_mut(&at)?;
        let suspect_before = address.doubt.suspect_before(Instant::now());
        // All idle connections may have gone silent at once.
        address
            .idle
            .retain(|(_, answered_at)| suspect_before.is_none_or(|before| *answered_at >= before));
        while let Some((connection, _)) = address.idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Records that a request is sent on a reused or a new connection; returns its number.
    pub fn sent(&mut self, at: SocketAddr, reused: bool) -> u64 {
        self.addresses.entry(at).or_default().doubt.sent(
            Duration::ZERO,
            true,
            reused,
            Instant::now(),
        )
    }

    /// Records that a request was answered, or that its answer is no longer awaited.
    pub fn ended(&mut self, at: SocketAddr, number: u64, answered: bool) {
        let (address, now) = (self.addresses.entry(at).or_default(), Instant::now());
        match answered {
            true => drop(address.doubt.answered(number, now, now)),
            false => address.doubt.cancelled(number, now),
        }
    }

    /// Keeps a connection unless `most` are idle already.
    pub fn put(&mut self, at: SocketAddr, connection: Connection, most: usize) {
        let idle = &mut self.addresses.entry(at).or_default().idle;
        idle.retain(|(c, _)| !c.is_closed());
        if idle.len() < most {
            idle.push((connection, Instant::now()));
        }
    }

    /// Closes idle connections above `most`.
    pub fn shrink(&mut self, at: SocketAddr, most: usize) {
        if let Some(address) = self.addresses.get_mut(&at) {
            address.idle.truncate(most);
        }
    }
}
