//! What the request path needs of the configuration, read without a lock.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest, Sha256};

use myrtle_base::Kind;
use myrtle_config::{Desired, Service};
use myrtle_peer::Peering;

/// A party as requests need it.
#[derive(Debug, Clone)]
pub struct Party {
    /// Its name.
    pub name: String,
    /// Its number in this view's order; stable while no party comes or goes.
    pub number: u32,
    /// Requests a second it may send in this data centre.
    pub rate: u32,
    /// The classes it may use; the first one is its default.
    pub classes: Vec<String>,
}

/// A class as requests need it.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Its price.
    pub price: u32,
    /// The deadline of a request that names none.
    pub deadline: Duration,
}

/// The configuration and the cell as this gate knows them.
#[derive(Debug, Default)]
pub struct View {
    /// The version of the platform scope, 0 for none.
    pub version: u64,
    /// Parties by the hash of their token.
    pub parties: HashMap<[u8; 32], Party>,
    /// Classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// The data centres by name.
    pub centres: Vec<String>,
    /// Who keeps what and who is where.
    pub peering: Peering,
}

impl View {
    /// The view with another platform scope.
    pub fn with_platform(&self, version: u64, desired: &Desired) -> Self {
        let parties = desired.parties.iter().enumerate().filter_map(|(n, (name, party))| {
            let (name, number) = (name.clone(), n as u32);
            let (rate, classes) = (party.rate, party.classes.clone());
            Some((unhex(&party.token_sha256)?, Party { name, number, rate, classes }))
        });
        let classes = desired.classes.iter().map(|(name, class)| {
            let price = class.price.try_into().unwrap_or(u32::MAX);
            (name.clone(), Class { price, deadline: class.deadline.0.std() })
        });
        Self {
            version,
            parties: parties.collect(),
            classes: classes.collect(),
            services: desired.services.clone(),
            centres: desired.data_centres.keys().cloned().collect(),
            peering: self.peering.clone(),
        }
    }

    /// The view with another peering.
    pub fn with_peering(&self, peering: Peering) -> Self {
        Self {
            version: self.version,
            parties: self.parties.clone(),
            classes: self.classes.clone(),
            services: self.services.clone(),
            centres: self.centres.clone(),
            peering,
        }
    }

    /// The party that a token belongs to.
    pub fn party(&self, token: &str) -> Result<&Party, Kind> {
        let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        self.parties.get(&hash).ok_or(Kind::NoToken)
    }

    /// Where a gate of this or another data centre listens for peers.
    pub fn peer(&self, gate: &str) -> Option<SocketAddr> {
        self.peering.peers.get(gate).map(|p| p.1)
    }
}

fn unhex(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (n, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[n * 2..n * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}
