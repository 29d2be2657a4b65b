//! Relays between hosts that can go silent.
//!
//! Hosts find each other by the owners in the store's groups and in the directory. Each host reaches the store through
//! its own server, which replaces the addresses of other hosts by those of relays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use tokio::net::TcpListener;

use myrtle_adapter::{KeyedRecord, frame_keyed, unframe, unframe_keyed};
use myrtle_front::Entry;
use myrtle_job::{decode, encode};
use myrtle_platform::{Reply, serve};
use myrtle_standin::Store;

use super::Relay;

/// The topic of the directory.
const DIRECTORY: &str = "keyed.owners";

/// The length of the header before the records in the answer to a read, in bytes.
const HEAD_LEN: usize = 16;

/// The relays to hosts, by peer address.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<BTreeMap<SocketAddr, Relay>>>);

impl Links {
    /// Adds a relay to a host; returns the address of the host's server for the store.
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
                        links.edit_body(answer, |text| links.edit_owners(text, peer)).await
                    }
                    "/api/log-read" if directory => {
                        links.edit_body(answer, |body| links.edit_records(body, peer)).await
                    }
                    "/api/log-newest" if directory => {
                        links.edit_body(answer, |text| links.edit_newest(text, peer)).await
                    }
                    _ => answer,
                }
            }
        }));
        at
    }

    /// Silences all open connections between hosts, without a reset.
    pub fn silence(&self) {
        self.0.lock().unwrap().values().for_each(Relay::silence);
    }

    /// The number of connections made between hosts.
    pub fn opened(&self) -> usize {
        self.0.lock().unwrap().values().map(Relay::opened).sum()
    }

    /// Edits the body of a successful answer.
    async fn edit_body(&self, answer: Reply, change: impl Fn(Bytes) -> Bytes) -> Reply {
        let (head, body) = answer.into_parts();
        let bytes = body.collect().await.unwrap().to_bytes();
        let changed = if head.status == 200 { change(bytes) } else { bytes };
        let mut answer = Reply::new(Full::from(changed));
        *answer.status_mut() = head.status;
        let kept = head.headers.into_iter().filter_map(|(name, value)| Some((name?, value)));
        answer.headers_mut().extend(kept.filter(|(name, _)| name != "content-length"));
        answer
    }

    /// Replaces the addresses of all hosts but one by those of relays in the rows of a group.
    fn edit_owners(&self, body: Bytes, own: SocketAddr) -> Bytes {
        let mut text = String::from_utf8(body.to_vec()).unwrap();
        for (peer, relay) in self.0.lock().unwrap().iter().filter(|(peer, _)| **peer != own) {
            text = text.replace(&format!("@{peer}\""), &format!("@{}\"", relay.at));
        }
        text.into()
    }

    /// The same in records of the directory.
    fn edit_records(&self, body: Bytes, own: SocketAddr) -> Bytes {
        let mut changed = BytesMut::from(&body[..HEAD_LEN]);
        for record in unframe(body.slice(HEAD_LEN..)).unwrap() {
            let KeyedRecord { key, value } = unframe_keyed(record).unwrap();
            frame_keyed(&mut changed, &key, &self.edit_entry(&value, own));
        }
        changed.freeze()
    }

    /// The same in its newest records.
    fn edit_newest(&self, body: Bytes, own: SocketAddr) -> Bytes {
        let mut page: Value = serde_json::from_slice(&body).unwrap();
        for item in page["items"].as_array_mut().unwrap() {
            let value = STANDARD.decode(item["value"].as_str().unwrap()).unwrap();
            item["value"] = STANDARD.encode(self.edit_entry(&value, own)).into();
        }
        page.to_string().into()
    }

    fn edit_entry(&self, value: &[u8], own: SocketAddr) -> Vec<u8> {
        let mut entry: Entry = decode(value).unwrap();
        for (peer, relay) in self.0.lock().unwrap().iter().filter(|(peer, _)| **peer != own) {
            if let Some(name) = entry.member.strip_suffix(&format!("@{peer}")) {
                entry.member = format!("{name}@{}", relay.at);
            }
        }
        encode(&entry)
    }
}
