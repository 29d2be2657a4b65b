//! Ways between hosts that can go silent.
//!
//! Hosts find each other by what the store tells of owners, in its groups and in the directory. Each host has a way to
//! the store of its own, on which the addresses of the others are those of relays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use tokio::net::TcpListener;

use myrtle_adapter::{Framed, frame_keyed, unframe, unframe_keyed};
use myrtle_front::Entry;
use myrtle_job::{decode, encode};
use myrtle_platform::{Answer, serve};
use myrtle_standin::Store;

use super::Relay;

/// The topic of the directory.
const DIRECTORY: &str = "keyed.owners";

/// What comes before the records in the answer to a read, in bytes.
const HEAD: usize = 16;

/// The relays to hosts, by where the hosts answer peers.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<BTreeMap<SocketAddr, Relay>>>);

impl Links {
    /// Puts a relay before a host; returns where the host reaches the store.
    pub async fn add(&self, store: Arc<Store>, peer: SocketAddr) -> SocketAddr {
        let relay = Relay::to(peer).await;
        self.0.lock().unwrap().insert(peer, relay);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let links = self.clone();
        tokio::spawn(serve(listener, move |ask| {
            let (store, links) = (store.clone(), links.clone());
            async move {
                let path = ask.path.clone();
                let directory = ask.param("topic").is_some_and(|topic| topic == DIRECTORY);
                let answer = store.handle(ask).await;
                match path.as_str() {
                    "/api/log-owners" => {
                        links.relayed(answer, |text| links.owners(text, peer)).await
                    }
                    "/api/log-read" if directory => {
                        links.relayed(answer, |body| links.records(body, peer)).await
                    }
                    "/api/log-newest" if directory => {
                        links.relayed(answer, |text| links.newest(text, peer)).await
                    }
                    _ => answer,
                }
            }
        }));
        at
    }

    /// Silences all open connections between hosts, without a reset.
    pub fn hush(&self) {
        self.0.lock().unwrap().values().for_each(Relay::hush);
    }

    /// How many connections were made between hosts.
    pub fn opened(&self) -> usize {
        self.0.lock().unwrap().values().map(Relay::opened).sum()
    }

    /// An answer with another body.
    async fn relayed(&self, answer: Answer, change: impl Fn(Bytes) -> Bytes) -> Answer {
        let (head, body) = answer.into_parts();
        let bytes = body.collect().await.unwrap().to_bytes();
        let changed = if head.status == 200 { change(bytes) } else { bytes };
        let mut answer = Answer::new(Full::from(changed));
        *answer.status_mut() = head.status;
        let kept = head.headers.into_iter().filter_map(|(name, value)| Some((name?, value)));
        answer.headers_mut().extend(kept.filter(|(name, _)| name != "content-length"));
        answer
    }

    /// Rows of a group in which all hosts but one are reached by their relays.
    fn owners(&self, body: Bytes, own: SocketAddr) -> Bytes {
        let mut text = String::from_utf8(body.to_vec()).unwrap();
        for (peer, relay) in self.0.lock().unwrap().iter().filter(|(peer, _)| **peer != own) {
            text = text.replace(&format!("@{peer}\""), &format!("@{}\"", relay.at));
        }
        text.into()
    }

    /// The same of records of the directory.
    fn records(&self, body: Bytes, own: SocketAddr) -> Bytes {
        let mut changed = BytesMut::from(&body[..HEAD]);
        for record in unframe(body.slice(HEAD..)).unwrap() {
            let Framed { key, value } = unframe_keyed(record).unwrap();
            frame_keyed(&mut changed, &key, &self.entry(&value, own));
        }
        changed.freeze()
    }

    /// The same of its newest records.
    fn newest(&self, body: Bytes, own: SocketAddr) -> Bytes {
        let mut page: Value = serde_json::from_slice(&body).unwrap();
        for item in page["items"].as_array_mut().unwrap() {
            let value = STANDARD.decode(item["value"].as_str().unwrap()).unwrap();
            item["value"] = STANDARD.encode(self.entry(&value, own)).into();
        }
        page.to_string().into()
    }

    fn entry(&self, value: &[u8], own: SocketAddr) -> Vec<u8> {
        let mut entry: Entry = decode(value).unwrap();
        for (peer, relay) in self.0.lock().unwrap().iter().filter(|(peer, _)| **peer != own) {
            if let Some(name) = entry.member.strip_suffix(&format!("@{peer}")) {
                entry.member = format!("{name}@{}", relay.at);
            }
        }
        encode(&entry)
    }
}
