//! Clients that don't behave, all with connections that stay open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The receive buffer of a client that does not read, in bytes: the rest of the answers stays with the host.
const RECEIVE_BUFFER: u32 = 4 << 10;

/// How long a client that can't write or connect goes on trying.
const BLOCKED_LIMIT: Duration = Duration::from_secs(4);

/// The pause between two pieces of a client that sends slowly.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// What each client of a crowd sends.
#[derive(Debug, Clone)]
pub struct Sends {
    /// The bytes.
    pub bytes: Arc<Vec<u8>>,
    /// The size of one write, in bytes; 0 for all at once.
    pub piece: usize,
}

impl Sends {
    /// All at once.
    pub fn whole(bytes: Vec<u8>) -> Self {
        Self { bytes: bytes.into(), piece: 0 }
    }

    /// In pieces, with a pause after each.
    pub fn pieces(bytes: Vec<u8>, piece: usize) -> Self {
        Self { bytes: bytes.into(), piece }
    }
}

/// A crowd, whose connections stay open until it is dropped.
pub struct Crowd {
    clients: JoinSet<()>,
    /// The number of clients that have sent what they send, or can't.
    settled: Arc<AtomicUsize>,
    size: usize,
}

impl Crowd {
    /// A crowd of `size` clients that connect to `at` and never read.
    pub fn start(at: SocketAddr, size: usize, sends: &Sends) -> Self {
        let settled = Arc::new(AtomicUsize::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..size {
            let (sends, settled) = (sends.clone(), settled.clone());
            clients.spawn(async move {
                let stream = send(at, &sends).await;
                settled.fetch_add(1, Ordering::Relaxed);
                // The connection stays open, whatever the host does.
                std::future::pending::<()>().await;
                drop(stream);
            });
        }
        Self { clients, settled, size }
    }

    /// Waits until every client has sent what it sends, or can't.
    pub async fn settle(&self) {
        while self.settled.load(Ordering::Relaxed) < self.size {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The number of clients.
    pub fn len(&self) -> usize {
        self.clients.len()
    }
}

/// Connects and sends; the connection, if there is one.
async fn send(at: SocketAddr, sends: &Sends) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    let mut stream = timeout(BLOCKED_LIMIT, socket.connect(at)).await.ok()?.ok()?;
    stream.set_nodelay(true).unwrap();
    let size = if sends.piece == 0 { sends.bytes.len().max(1) } else { sends.piece };
    for piece in sends.bytes.chunks(size) {
        match timeout(BLOCKED_LIMIT, stream.write_all(piece)).await {
            Ok(Ok(())) if sends.piece > 0 => sleep(PIECE_PAUSE).await,
            Ok(Ok(())) => {}
            // Nobody reads it any more, or the host has let this client go.
            _ => break,
        }
    }
    Some(stream)
}
