//! A connection to one peer that is made again when it breaks or goes silent.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tokio::time::timeout;

use myrtle_base::SilenceDetector;

use crate::transport::Connect;

/// How long a connection may be idle before it is no longer used; shorter than the time after which
/// the server closes it.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// How long a new connection without any answer is kept, so that a peer that is stopped for a while
/// doesn't find many of them when it continues.
const GRACE: Duration = Duration::from_secs(3);

/// One peer's connection, shared by all callers.
///
/// A connection that may have gone silent is not used for new calls; answers on it are still
/// accepted.
#[derive(Debug)]
pub struct Link<C> {
    address: SocketAddr,
    connection: Mutex<Option<Connection<C>>>,
    doubt: Mutex<SilenceDetector>,
    /// Locked while a connection is made; holds the time of the last failure.
    connecting: tokio::sync::Mutex<Option<Instant>>,
}

/// A connection.
#[derive(Debug, Clone)]
struct Connection<C> {
    client: C,
    opened_at: Instant,
    answered_at: Option<Instant>,
}

impl<C> Connection<C> {
    fn last_used(&self) -> Instant {
        self.answered_at.unwrap_or(self.opened_at)
    }
}

/// A call without an answer yet; if it is dropped, the connection is suspected to have gone silent.
struct PendingCall<'a> {
    doubt: &'a Mutex<SilenceDetector>,
    number: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        lock(self.doubt).cancelled(self.number, Instant::now());
    }
}

impl<C: Connect> Link<C> {
    /// A link to the peer at `at`, connected at the first call.
    pub fn new(at: SocketAddr) -> Self {
        let connecting = tokio::sync::Mutex::default();
        Self { address: at, connection: Mutex::new(None), doubt: Mutex::default(), connecting }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether there is a connection to the peer, or one can be made.
    pub async fn connect(&self) -> bool {
        self.connection().await.is_some()
    }

    /// Calls the peer; connects again after an error of an earlier call, or after a long silence.
    ///
    /// Returns nothing if the peer could not be reached or did not answer within `limit`.
    pub async fn call<T, F, R>(&self, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(C, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        self.call_waiting(Duration::ZERO, limit, call).await
    }

    /// Calls the peer, which may wait up to `wait` before it answers.
    pub async fn call_waiting<T, F, R>(&self, wait: Duration, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(C, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let Connection { client, opened_at, answered_at } = self.connection().await?;
        let sent = Instant::now();
        // On a new connection, a missing answer means that the peer is slow.
        let established = answered_at.is_some() || sent > opened_at + GRACE;
        let number = lock(&self.doubt).sent(wait, true, established, sent);
        let pending = PendingCall { doubt: &self.doubt, number };
        let mut context = context::current();
        context.deadline = sent + limit;
        // The context's deadline applies only once the call is sent; a connection whose buffers are
        // full would hold the call for ever.
        match timeout(limit, call(client, context)).await {
            Ok(Ok(value)) => {
                let now = Instant::now();
                lock(&self.doubt).answered(pending.number, opened_at, now);
                self.change(opened_at, |connection| connection.answered_at = Some(now));
                Some(value)
            }
            // A late answer doesn't mean that the connection is broken.
            Err(_) | Ok(Err(RpcError::DeadlineExceeded)) => None,
            Ok(Err(_)) => {
                let mut current = lock(&self.connection);
                current.take_if(|connection| connection.opened_at == opened_at);
                None
            }
        }
    }

    /// Changes the record of a connection, if it is still in use.
    fn change(&self, opened_at: Instant, change: impl FnOnce(&mut Connection<C>)) {
        let mut current = lock(&self.connection);
        if let Some(connection) =
            current.as_mut().filter(|connection| connection.opened_at == opened_at)
        {
            change(connection);
        }
    }

    /// The connection, unless it is in doubt or idle for too long.
    fn usable(&self) -> Option<Connection<C>> {
        let now = Instant::now();
        let before = lock(&self.doubt).suspect_before(now);
        let connection = lock(&self.connection).clone()?;
        let suspect = before.is_some_and(|before| connection.last_used() < before);
        (!suspect && now < connection.last_used() + MAX_IDLE).then_some(connection)
    }

    /// The connection, made first if necessary; callers that wait at the same time share one
    /// attempt.
    async fn connection(&self) -> Option<Connection<C>> {
        if let Some(connection) = self.usable() {
            return Some(connection);
        }
        let asked = Instant::now();
        let mut failed = self.connecting.lock().await;
        if let Some(connection) = self.usable() {
            return Some(connection);
        }
        if failed.is_some_and(|at| at > asked) {
            return None;
        }
        let opened_at = Instant::now();
        let Ok(client) = C::connect(self.address).await else {
            *failed = Some(Instant::now());
            return None;
        };
        let connection = Connection { client, opened_at, answered_at: None };
        *lock(&self.connection) = Some(connection.clone());
        Some(connection)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
