//! The transport of calls between hosts: frames, limits and time-outs.

use std::net::SocketAddr;
use std::time::Duration;

use bincode::Options;
use bincode::config::{AllowTrailing, DefaultOptions, WithOtherTrailing};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::client::Config;
use tarpc::serde_transport::{Transport, new};
use tarpc::server::BaseChannel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{ClientMessage, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::idle::IdleTimeout;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A server closes a connection on which nothing has come for this time; the client stops using it
/// much earlier.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// The pause after the system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The largest message, in bytes; the whole state of a sched fits.
const MAX_FRAME: usize = 32 << 20;

/// The encoding of messages: by position, so fields and calls are only added at the end. What a later
/// build has added there is passed over.
pub type Encoding = WithOtherTrailing<DefaultOptions, AllowTrailing>;

/// The transport of a connection for two types of messages.
pub type Framed<Item, Out> = Transport<IdleTimeout, Item, Out, Bincode<Item, Out, Encoding>>;

/// A generated client that can be connected to an address.
pub trait Connect: Clone + Send + Sync + 'static {
    /// Connects to a peer.
    fn connect(at: SocketAddr) -> impl Future<Output = std::io::Result<Self>> + Send;
}

macro_rules! connect {
    ($client:ty) => {
        impl Connect for $client {
            async fn connect(at: SocketAddr) -> std::io::Result<Self> {
                let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await??;
                Ok(<$client>::new(Config::default(), framed(stream, IDLE_LIMIT)).spawn())
            }
        }
    };
}

connect!(crate::SchedPeerClient);
connect!(crate::GatePeerClient);
connect!(crate::FrontPeerClient);

/// The server's side of one connection.
pub type ServerChannel<Req, Resp> =
    BaseChannel<Req, Resp, Framed<ClientMessage<Req>, Response<Resp>>>;

/// Accepts peers on a bound port and passes each connection to `run`, until the future is dropped.
///
/// `run` spawns the generated service, whose futures are known to be `Send` only there.
pub async fn listen<Req, Resp>(listener: TcpListener, run: impl Fn(ServerChannel<Req, Resp>))
where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
{
    listen_with_limit(listener, IDLE_LIMIT, run).await;
}

/// Accepts peers as [`listen`] does, and closes connections that are idle for longer than `limit`.
pub async fn listen_with_limit<Req, Resp>(
    listener: TcpListener,
    limit: Duration,
    run: impl Fn(ServerChannel<Req, Resp>),
) where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => run(BaseChannel::with_defaults(framed(stream, limit))),
            // Without free descriptors the next accept would fail at once.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// The encoding of messages between hosts.
pub fn encoding() -> Encoding {
    DefaultOptions::new().allow_trailing_bytes()
}

fn framed<Item, Out>(stream: TcpStream, limit: Duration) -> Framed<Item, Out>
where
    Item: DeserializeOwned,
    Out: Serialize,
{
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME);
    new(codec.new_framed(IdleTimeout::new(stream, limit)), Bincode::from(encoding()))
}
