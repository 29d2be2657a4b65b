//! How messages lie on a connection between hosts.

use std::net::SocketAddr;
use std::time::Duration;

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

use crate::quiet::Quiet;

/// How long a connection may take.
const CONNECT: Duration = Duration::from_millis(500);

/// How long nothing may come on a connection before it is closed; its maker stops to use it far
/// earlier.
const QUIET: Duration = Duration::from_secs(60);

/// The pause after the system could not give a connection.
const PAUSE: Duration = Duration::from_millis(50);

/// The largest message, in bytes; a whole state fits.
const MAX_FRAME: usize = 32 << 20;

/// The transport of a client, with its messages still to be named.
pub type Wire<Item, Out> = Transport<Quiet, Item, Out, Bincode<Item, Out>>;

/// A generated client that can be made for an address.
pub trait Connect: Clone + Send + Sync + 'static {
    /// Connects to a peer.
    fn connect(at: SocketAddr) -> impl Future<Output = std::io::Result<Self>> + Send;
}

macro_rules! connect {
    ($client:ty) => {
        impl Connect for $client {
            async fn connect(at: SocketAddr) -> std::io::Result<Self> {
                let stream = timeout(CONNECT, TcpStream::connect(at)).await??;
                Ok(<$client>::new(Config::default(), framed(stream, QUIET)).spawn())
            }
        }
    };
}

connect!(crate::SchedPeerClient);
connect!(crate::GatePeerClient);
connect!(crate::FrontPeerClient);

/// A server's side of one connection.
pub type Wired<Req, Resp> = BaseChannel<Req, Resp, Wire<ClientMessage<Req>, Response<Resp>>>;

/// Accepts peers on a bound port and gives each connection to `run`, until the future is dropped.
///
/// `run` spawns the generated service, whose futures are known to be sendable only there.
pub async fn listen<Req, Resp>(listener: TcpListener, run: impl Fn(Wired<Req, Resp>))
where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
{
    listen_while(listener, QUIET, run).await;
}

/// Accepts peers as [`listen`] does, and closes connections that are quiet for so long.
pub async fn listen_while<Req, Resp>(
    listener: TcpListener,
    quiet: Duration,
    run: impl Fn(Wired<Req, Resp>),
) where
    Req: DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => run(BaseChannel::with_defaults(framed(stream, quiet))),
            // Without descriptors the next accept would fail at once.
            Err(_) => sleep(PAUSE).await,
        }
    }
}

fn framed<Item, Out>(stream: TcpStream, quiet: Duration) -> Wire<Item, Out>
where
    Item: DeserializeOwned,
    Out: Serialize,
{
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME);
    new(codec.new_framed(Quiet::new(stream, quiet)), Bincode::default())
}
