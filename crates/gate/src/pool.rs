//! Idle connections to upstreams, never more than the slots held there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use myrtle_base::Doubt;

/// The body of a request to an upstream: kept whole, or passed on as it comes.
pub type Outgoing = Either<Full<Bytes>, Incoming>;

/// A connection to an upstream.
pub type Connection = SendRequest<Outgoing>;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    places: HashMap<SocketAddr, Place>,
}

/// What is known of one address; connections with the moment at which they were last heard of.
#[derive(Debug, Default)]
struct Place {
    idle: Vec<(Connection, Instant)>,
    doubt: Doubt,
}

impl Pool {
    /// An idle connection that is still open and not in doubt.
    pub fn take(&mut self, at: SocketAddr) -> Option<Connection> {
        let place = self.places.get_mut(&at)?;
        let doubted = place.doubt.before(Instant::now());
        // All of them may have gone silent at once.
        place.idle.retain(|(_, heard)| doubted.is_none_or(|before| *heard >= before));
        while let Some((connection, _)) = place.idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Notes that a request is sent on a kept or a new connection; returns its number.
    pub fn sent(&mut self, at: SocketAddr, kept: bool) -> u64 {
        self.places.entry(at).or_default().doubt.sent(Duration::ZERO, true, kept, Instant::now())
    }

    /// Notes that a request was answered, or that nobody waits for its answer any more.
    pub fn over(&mut self, at: SocketAddr, number: u64, answered: bool) {
        let (place, now) = (self.places.entry(at).or_default(), Instant::now());
        match answered {
            true => drop(place.doubt.answered(number, now, now)),
            false => place.doubt.given_up(number, now),
        }
    }

    /// Keeps a connection unless `most` are idle already.
    pub fn put(&mut self, at: SocketAddr, connection: Connection, most: usize) {
        let idle = &mut self.places.entry(at).or_default().idle;
        idle.retain(|(c, _)| !c.is_closed());
        if idle.len() < most {
            idle.push((connection, Instant::now()));
        }
    }

    /// Closes idle connections above `most`.
    pub fn shrink(&mut self, at: SocketAddr, most: usize) {
        if let Some(place) = self.places.get_mut(&at) {
            place.idle.truncate(most);
        }
    }
}
