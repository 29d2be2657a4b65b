//! Calls as clients make them.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::text::QUEUE;

/// The status of a call.
pub async fn status(at: SocketAddr, path: &str) -> u16 {
    call(at, "GET", path, "").await.0
}

/// The status and the body of a call; status 0 if there is no answer.
pub async fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    call_with(at, method, path, body, "").await
}

/// The same with more headers, each a line.
pub async fn call_with(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    headers: &str,
) -> (u16, String) {
    let Ok(mut stream) = tokio::net::TcpStream::connect(at).await else {
        return (0, String::new());
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {QUEUE}\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n",
        body.len()
    );
    let mut answer = Vec::new();
    let exchange = async {
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await?;
        stream.read_to_end(&mut answer).await
    };
    if exchange.await.is_err() {
        return (0, String::new());
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, b)| b);
    (status, body.to_string())
}
