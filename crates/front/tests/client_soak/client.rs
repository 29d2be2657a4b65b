//! A client's connection, kept until the other side ends it.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::fleet::{Fleet, FleetHost};
use crate::settings::QUEUE_HOST;

/// The longest wait for an answer, longer than the deadline that requests name.
const ANSWER_LIMIT: Duration = Duration::from_millis(4_500);

/// The deadline that requests name, in milliseconds.
const DEADLINE_MS: u32 = 3_000;

/// The longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// The pause before another connection is tried.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);

/// The number of connections that are tried for one request.
const MAX_CONNECTS: u32 = 60;

/// The share of requests whose head and body are written apart.
const SPLIT_SHARE: f64 = 0.2;

/// The longest time between head and body, in milliseconds.
const MAX_SPLIT_MS: u64 = 20;

/// What became of a request.
pub enum Outcome {
    /// A complete answer: its status and its body.
    Answer(u16, String),
    /// The connection ended without one.
    Cut(Cut),
    /// There was none in time.
    Silent(Cut),
    /// The connection ended before the whole request was written, or there was none.
    Unsent,
}

/// A request that ended without a complete answer.
#[derive(Debug, Clone)]
pub struct Cut {
    /// The host that had it.
    pub host: String,
    /// Method and path.
    pub request: String,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When the connection ended.
    pub ended: Instant,
    /// How long the connection had been idle before the request.
    pub idle: Duration,
    /// The requests that the connection had carried before.
    pub used: u32,
    /// The bytes of the answer that arrived.
    pub received: usize,
    /// How the connection ended.
    pub how: String,
}

struct Connection {
    stream: TcpStream,
    host: Arc<FleetHost>,
    /// When it began or its last answer came.
    idle_since: Instant,
    used: u32,
}

/// A client in a data centre with its connection.
pub struct Client {
    fleet: Arc<Fleet>,
    centre: &'static str,
    /// The client's own draws, so that its requests don't depend on those of others.
    pub rng: ChaCha8Rng,
    connection: Option<Connection>,
    last_host: String,
}

impl Client {
    /// A client without a connection.
    pub fn new(fleet: Arc<Fleet>, centre: &'static str, rng: ChaCha8Rng) -> Self {
        Self { fleet, centre, rng, connection: None, last_host: String::new() }
    }

    /// The host that had the last request.
    pub fn last_host(&self) -> String {
        self.last_host.clone()
    }

    /// Makes a request on the kept connection, or on a new one if the other side has ended that.
    pub async fn request(&mut self, method: &str, path: &str, body: &str) -> Outcome {
        let mut connection = match self.connection.take().filter(Connection::is_open) {
            Some(connection) => connection,
            None => match self.connect().await {
                Some(connection) => connection,
                None => return Outcome::Unsent,
            },
        };
        self.last_host.clone_from(&connection.host.name);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {QUEUE_HOST}\r\n\
             content-type: application/json\r\ndeadline-ms: {DEADLINE_MS}\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        let idle = connection.idle_since.elapsed();
        let split = !body.is_empty() && self.rng.random_bool(SPLIT_SHARE);
        let pause = Duration::from_millis(self.rng.random_range(0..MAX_SPLIT_MS));
        let written = async {
            if split {
                connection.stream.write_all(head.as_bytes()).await?;
                sleep(pause).await;
                connection.stream.write_all(body.as_bytes()).await
            } else {
                connection.stream.write_all((head + body).as_bytes()).await
            }
        };
        if written.await.is_err() {
            return Outcome::Unsent;
        }
        let sent = Instant::now();
        let mut received = Vec::new();
        let answer = timeout(ANSWER_LIMIT, read(&mut connection.stream, &mut received)).await;
        let cut = |how: String, received: &[u8]| Cut {
            host: connection.host.name.clone(),
            request: format!("{method} {path}"),
            sent,
            ended: Instant::now(),
            idle,
            used: connection.used,
            received: received.len(),
            how,
        };
        match answer {
            Ok(Ok((status, body, keep))) => {
                connection.used += 1;
                connection.idle_since = Instant::now();
                self.connection = Some(connection).filter(|_| keep);
                Outcome::Answer(status, body)
            }
            Ok(Err(how)) => Outcome::Cut(cut(how, &received)),
            Err(_) => Outcome::Silent(cut("no answer in time".into(), &received)),
        }
    }

    async fn connect(&mut self) -> Option<Connection> {
        for _ in 0..MAX_CONNECTS {
            let host = self.fleet.route(self.centre, self.rng.random_range(0..1_000));
            if let Ok(Ok(stream)) = timeout(CONNECT_LIMIT, TcpStream::connect(host.clients)).await {
                let _ = stream.set_nodelay(true);
                return Some(Connection { stream, host, idle_since: Instant::now(), used: 0 });
            }
            sleep(CONNECT_PAUSE).await;
        }
        None
    }
}

impl Connection {
    /// Whether the other side has not ended it, as far as is known here.
    fn is_open(&self) -> bool {
        let seen = self.stream.try_read(&mut [0; 1]);
        seen.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

/// Reads an answer; returns its status, its body and whether the connection is kept, or how the connection ended.
async fn read(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
) -> Result<(u16, String, bool), String> {
    let mut buffer = [0; 4_096];
    loop {
        if let Some(answer) = parse(received) {
            return Ok(answer);
        }
        match stream.read(&mut buffer).await {
            Ok(0) => return Err("end".into()),
            Ok(n) => received.extend(&buffer[..n]),
            Err(e) => return Err(e.kind().to_string()),
        }
    }
}

/// The answer, once it is complete.
fn parse(received: &[u8]) -> Option<(u16, String, bool)> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let header = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
    };
    let length = header("content-length").and_then(|n| n.parse::<usize>().ok());
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = length.expect("every answer names its length");
    let keep = header("connection").is_none_or(|value| value != "close");
    (body.len() >= length).then(|| (status, body[..length].to_string(), keep))
}
