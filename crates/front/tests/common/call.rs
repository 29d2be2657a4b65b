//! HTTP calls of clients.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::text::QUEUE;

/// Makes a GET call; returns the status.
pub async fn status(at: SocketAddr, path: &str) -> u16 {
    call(at, "GET", path, "").await.0
}

/// Makes a call; returns the status and the body, or status 0 without an answer.
pub async fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    call_with(at, method, path, body, "").await
}

/// The same with further headers, one a line.
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
