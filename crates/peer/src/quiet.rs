//! A socket that breaks once nothing has come for a while.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// A socket whose reads fail once nothing has come for a while.
///
/// A connection that went silent is never reset, and would keep its descriptor for good.
#[derive(Debug)]
pub struct Quiet {
    stream: TcpStream,
    limit: Duration,
    heard: Instant,
    alarm: Pin<Box<Sleep>>,
}

impl Quiet {
    /// A socket that may be quiet for so long.
    pub fn new(stream: TcpStream, limit: Duration) -> Self {
        Self { stream, limit, heard: Instant::now(), alarm: Box::pin(sleep(limit)) }
    }
}

impl AsyncRead for Quiet {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let me = &mut *self;
        if let Poll::Ready(read) = Pin::new(&mut me.stream).poll_read(cx, buf) {
            me.heard = Instant::now();
            return Poll::Ready(read);
        }
        // The alarm is set again only when it goes off: that is cheaper than at each read.
        while me.alarm.as_mut().poll(cx).is_ready() {
            let end = me.heard + me.limit;
            if Instant::now() >= end {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            me.alarm.as_mut().reset(end);
        }
        Poll::Pending
    }
}

impl AsyncWrite for Quiet {
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
