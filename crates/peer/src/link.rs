//! A connection to one peer that is made again when it breaks.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport::{Transport, tcp};
use tarpc::server::BaseChannel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Response};
use tokio::net::{TcpListener, TcpStream};

/// How long a connection may take.
const CONNECT: Duration = Duration::from_millis(500);

/// The largest message, in bytes; a whole state fits.
const MAX_FRAME: usize = 32 << 20;

/// The transport of a client, with its messages still to be named.
pub type Wire<Item, Out> = Transport<TcpStream, Item, Out, Bincode<Item, Out>>;

/// A generated client that can be made for an address.
pub trait Connect: Clone + Send + Sync + 'static {
    /// Connects to a peer.
    fn connect(at: SocketAddr) -> impl Future<Output = std::io::Result<Self>> + Send;
}

macro_rules! connect {
    ($client:ty) => {
        impl Connect for $client {
            async fn connect(at: SocketAddr) -> std::io::Result<Self> {
                let mut dial = tcp::connect(at, Bincode::default);
                dial.config_mut().max_frame_length(MAX_FRAME);
                let wire = tokio::time::timeout(CONNECT, dial).await??;
                Ok(<$client>::new(Config::default(), wire).spawn())
            }
        }
    };
}

connect!(crate::SchedPeerClient);
connect!(crate::GatePeerClient);
connect!(crate::FrontPeerClient);

/// One peer's connection, shared by all who call it.
#[derive(Debug)]
pub struct Link<C> {
    at: SocketAddr,
    client: Mutex<Option<C>>,
}

impl<C: Connect> Link<C> {
    /// A link to the peer at `at`, connected at the first call.
    pub fn new(at: SocketAddr) -> Self {
        Self { at, client: Mutex::new(None) }
    }

    /// Where the peer listens.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Whether there is a connection to the peer, or one can be made.
    pub async fn reach(&self) -> bool {
        self.client().await.is_some()
    }

    /// Calls the peer; after an error the next call connects again.
    ///
    /// Returns nothing if the peer could not be reached or did not answer within `limit`.
    pub async fn call<T, F, R>(&self, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(C, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client().await?;
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        match call(client, context).await {
            Ok(value) => Some(value),
            Err(e) => {
                // A late answer says nothing against the connection.
                if !matches!(e, RpcError::DeadlineExceeded) {
                    self.client.lock().expect("no holder panics").take();
                }
                None
            }
        }
    }

    async fn client(&self) -> Option<C> {
        if let Some(client) = self.client.lock().expect("no holder panics").clone() {
            return Some(client);
        }
        let client = C::connect(self.at).await.ok()?;
        *self.client.lock().expect("no holder panics") = Some(client.clone());
        Some(client)
    }
}

/// A server's side of one connection.
pub type Wired<Req, Resp> = BaseChannel<Req, Resp, Wire<ClientMessage<Req>, Response<Resp>>>;

/// Accepts peers on a bound port and gives each connection to `run`, until the future is dropped.
///
/// `run` spawns the generated service, whose futures are known to be sendable only there.
pub async fn listen<Req, Resp>(
    listener: TcpListener,
    run: impl Fn(Wired<Req, Resp>),
) -> std::io::Result<()>
where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
{
    let mut incoming = tcp::listen_on(listener, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME);
    let mut incoming = incoming.filter_map(|c| ready(c.ok()));
    while let Some(wire) = incoming.next().await {
        run(BaseChannel::with_defaults(wire));
    }
    Ok(())
}

/// Runs a generated service on one connection.
#[macro_export]
macro_rules! run {
    ($channel:expr, $service:expr) => {{
        use $crate::reexport::{Channel, StreamExt};
        let calls = $channel.execute($service);
        tokio::spawn(calls.for_each_concurrent(None, |call| call));
    }};
}
