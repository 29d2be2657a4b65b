//! A socket whose reads fail after a time without data.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// A socket whose reads fail after a time without data.
///
/// A connection that went silent is never reset, and would keep its descriptor for good.
#[derive(Debug)]
pub struct IdleTimeout {
    stream: TcpStream,
    limit: Duration,
    last_read: Instant,
    timer: Pin<Box<Sleep>>,
}

impl IdleTimeout {
    /// Wraps a socket that may be idle for up to `limit`.
    pub fn new(stream: TcpStream, limit: Duration) -> Self {
        Self { stream, limit, last_read: Instant::now(), timer: Box::pin(sleep(limit)) }
    }
}

impl AsyncRead for IdleTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(cx, buf) {
            this.last_read = Instant::now();
            return Poll::Ready(read);
        }
        // The timer is reset only when it fires, which is cheaper than at each read.
        while this.timer.as_mut().poll(cx).is_ready() {
            let end = this.last_read + this.limit;
            if Instant::now() >= end {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            this.timer.as_mut().reset(end);
        }
        Poll::Pending
    }
}

impl AsyncWrite for IdleTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
