//! Idle connections to an address that go silent without a reset while new ones work.
//!
//! Concurrent calls leave several idle connections. If only the connection that a call timed out on
//! were closed, each later call would take another silent one and time out too.

#[path = "../../../platform/tests/common/mod.rs"]
mod relay;

use std::time::Duration;

use futures::future::join_all;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use myrtle_platform::{Caller, Failure, HttpRequest, serve, text};

use relay::Relay;

/// The timeout of a call that detects a silent connection.
const SHORT: Duration = Duration::from_millis(500);

/// Far above the time of a call.
const LONG: Duration = Duration::from_secs(20);

/// Starts a server behind a relay.
async fn served() -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = Relay::to(listener.local_addr().unwrap()).await;
    tokio::spawn(serve(listener, |_: HttpRequest| async {
        sleep(Duration::from_millis(100)).await;
        text(200, "")
    }));
    relay
}

async fn call(caller: &Caller, relay: &Relay, limit: Duration) -> Result<(), Failure> {
    caller.call(Method::GET, relay.at, "/", Vec::new(), limit).await.map(drop)
}

#[tokio::test]
async fn a_timed_out_call_closes_all_connections_to_its_address() {
    let (one, other) = (served().await, served().await);
    let caller = Caller::default();
    let calls = (0..4).map(|_| call(&caller, &one, LONG));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert!(call(&caller, &other, LONG).await.is_ok());
    one.silence();
    assert_eq!(call(&caller, &one, SHORT).await, Err(Failure::Lost(one.at)));
    assert!(call(&caller, &one, LONG).await.is_ok());
    assert!(call(&caller, &other, LONG).await.is_ok());
    assert_eq!((one.opened(), other.opened()), (5, 1));
}

/// Guards against a server that runs out of descriptors: without a timeout on bodies, calls that go
/// silent with half a body sent keep their connections open.
#[tokio::test]
async fn a_connection_with_half_a_body_is_closed() {
    let relay = served().await;
    let mut stream = TcpStream::connect(relay.at).await.unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf").await.unwrap();
    let mut rest = Vec::new();
    let closed = timeout(LONG, stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection is still open");
}
