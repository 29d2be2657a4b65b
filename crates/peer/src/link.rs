//! A connection to one peer that is made again when it breaks or goes silent.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tokio::time::timeout;

use myrtle_base::Doubt;

use crate::wire::Connect;

/// How long a connection may go unused before it is not trusted any more; below the time after
/// which the other side closes it.
const UNUSED: Duration = Duration::from_secs(20);

/// How long a connection without any answer is kept: a peer that stands still must not find many of
/// them when it wakes.
const FRESH: Duration = Duration::from_secs(3);

/// One peer's connection, shared by all who call it.
///
/// A connection that is in doubt is not used for new calls; answers on it are still taken.
#[derive(Debug)]
pub struct Link<C> {
    at: SocketAddr,
    line: Mutex<Option<Line<C>>>,
    doubt: Mutex<Doubt>,
    /// Held while a connection is made; the last one that failed did so at this moment.
    connecting: tokio::sync::Mutex<Option<Instant>>,
}

/// A connection.
#[derive(Debug, Clone)]
struct Line<C> {
    client: C,
    opened: Instant,
    heard: Option<Instant>,
}

impl<C> Line<C> {
    fn last(&self) -> Instant {
        self.heard.unwrap_or(self.opened)
    }
}

/// A call that waits; dropped without an answer it casts doubt on the connection.
struct Mark<'a> {
    doubt: &'a Mutex<Doubt>,
    number: u64,
}

impl Drop for Mark<'_> {
    fn drop(&mut self) {
        lock(self.doubt).given_up(self.number, Instant::now());
    }
}

impl<C: Connect> Link<C> {
    /// A link to the peer at `at`, connected at the first call.
    pub fn new(at: SocketAddr) -> Self {
        let connecting = tokio::sync::Mutex::default();
        Self { at, line: Mutex::new(None), doubt: Mutex::default(), connecting }
    }

    /// Where the peer listens.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Whether there is a connection to the peer, or one can be made.
    pub async fn reach(&self) -> bool {
        self.line().await.is_some()
    }

    /// Calls the peer; after an error the next call connects again, and after a long silence too.
    ///
    /// Returns nothing if the peer could not be reached or did not answer within `limit`.
    pub async fn call<T, F, R>(&self, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(C, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        self.call_waiting(Duration::ZERO, limit, call).await
    }

    /// Calls the peer, which is asked to wait so long with its answer.
    pub async fn call_waiting<T, F, R>(&self, wait: Duration, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(C, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let Line { client, opened, heard } = self.line().await?;
        let sent = Instant::now();
        // Without an answer on a new connection it is the peer that is slow.
        let kept = heard.is_some() || sent > opened + FRESH;
        let number = lock(&self.doubt).sent(wait, true, kept, sent);
        let mark = Mark { doubt: &self.doubt, number };
        let mut context = context::current();
        context.deadline = sent + limit;
        // The deadline holds only for what is sent; a connection that takes in no more would hold
        // the call for ever.
        match timeout(limit, call(client, context)).await {
            Ok(Ok(value)) => {
                let now = Instant::now();
                lock(&self.doubt).answered(mark.number, opened, now);
                self.change(opened, |line| line.heard = Some(now));
                Some(value)
            }
            // A late answer says nothing against the connection.
            Err(_) | Ok(Err(RpcError::DeadlineExceeded)) => None,
            Ok(Err(_)) => {
                let mut held = lock(&self.line);
                held.take_if(|line| line.opened == opened);
                None
            }
        }
    }

    /// Changes what is known of a connection, if it is still in use.
    fn change(&self, opened: Instant, change: impl FnOnce(&mut Line<C>)) {
        let mut held = lock(&self.line);
        if let Some(line) = held.as_mut().filter(|line| line.opened == opened) {
            change(line);
        }
    }

    /// The connection, unless it is in doubt.
    fn trusted(&self) -> Option<Line<C>> {
        let now = Instant::now();
        let before = lock(&self.doubt).before(now);
        let line = lock(&self.line).clone()?;
        let doubted = before.is_some_and(|before| line.last() < before);
        (!doubted && now < line.last() + UNUSED).then_some(line)
    }

    /// The connection, made first if need be; many who wait for it make one.
    async fn line(&self) -> Option<Line<C>> {
        if let Some(line) = self.trusted() {
            return Some(line);
        }
        let asked = Instant::now();
        let mut failed = self.connecting.lock().await;
        if let Some(line) = self.trusted() {
            return Some(line);
        }
        if failed.is_some_and(|at| at > asked) {
            return None;
        }
        let opened = Instant::now();
        let Ok(client) = C::connect(self.at).await else {
            *failed = Some(Instant::now());
            return None;
        };
        let line = Line { client, opened, heard: None };
        *lock(&self.line) = Some(line.clone());
        Some(line)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
