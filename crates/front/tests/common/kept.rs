//! Connections that clients keep for several requests.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::text::QUEUE;

/// The longest wait for an answer, far longer than any takes.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// An answer on a kept connection.
#[derive(Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    pub status: u16,
    /// Whether it tells the client that the connection ends with it.
    pub closes: bool,
}

/// A connection that a client keeps.
pub struct Kept(TcpStream);

impl Kept {
    /// Connects to a host.
    pub async fn to(at: SocketAddr) -> Self {
        Self(TcpStream::connect(at).await.unwrap())
    }

    /// Sends a request with further headers, one a line, and a body.
    pub async fn send(&mut self, method: &str, path: &str, headers: &str, body: &[u8]) {
        self.send_head(method, path, headers, body.len()).await;
        self.write(body).await;
    }

    /// Sends the head of a request with a body of this length.
    pub async fn send_head(&mut self, method: &str, path: &str, headers: &str, length: usize) {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {QUEUE}\r\ncontent-length: {length}\r\n{headers}\r\n"
        );
        self.write(head.as_bytes()).await;
    }

    /// Sends a part of a request; whether it arrived is shown by the answer.
    pub async fn write(&mut self, part: &[u8]) {
        let _ = self.0.write_all(part).await;
    }

    /// Closes the sending side.
    pub async fn finish(&mut self) {
        self.0.shutdown().await.unwrap();
    }

    /// The answer to the request sent last; nothing if the connection ends without a complete one.
    pub async fn answer(&mut self) -> Option<KeptAnswer> {
        timeout(ANSWER_LIMIT, self.read_answer()).await.expect("no answer, and no end of it")
    }

    async fn read_answer(&mut self) -> Option<KeptAnswer> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.0.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).unwrap().to_lowercase();
        let field = |name| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let length = field("content-length:").map_or(0, |length| length.parse().unwrap());
        self.0.read_exact(&mut vec![0; length]).await.ok()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(KeptAnswer { status, closes: field("connection:") == Some("close") })
    }
}
