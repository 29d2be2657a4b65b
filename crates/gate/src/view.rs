//! What the request path needs of the configuration and the cell, read without a lock.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest, Sha256};

use myrtle_base::Kind;
use myrtle_config::{Desired, Service};
use myrtle_peer::CellView;

/// A customer as the request path needs it.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Its number in this view, which changes only when customers are added or removed.
    pub number: u32,
    /// Requests a second that it may send in this data centre.
    pub rate: u32,
    /// The classes that it may use; the first one is its default.
    pub classes: Vec<String>,
}

/// A class as the request path needs it.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Its price.
    pub price: u32,
    /// The deadline of a request that names none.
    pub deadline: Duration,
}

/// The configuration and the cell, as this gate last received them.
#[derive(Debug, Default)]
pub struct View {
    /// The version of the platform scope, 0 for none.
    pub version: u64,
    /// Customers by the hash of their token.
    pub customers: HashMap<[u8; 32], Customer>,
    /// Classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// The data centres by name.
    pub centres: Vec<String>,
    /// The coordinators, gates and upstreams of the cell.
    pub peering: CellView,
}

impl View {
    /// The view with another platform scope.
    pub fn with_platform(&self, version: u64, desired: &Desired) -> Self {
        let customers = desired.customers.iter().enumerate().filter_map(|(n, (name, customer))| {
            let (name, number) = (name.clone(), n as u32);
            let (rate, classes) = (customer.rate, customer.classes.clone());
            Some((decode_hash(&customer.token_sha256)?, Customer { name, number, rate, classes }))
        });
        let classes = desired.classes.iter().map(|(name, class)| {
            let price = class.price.try_into().unwrap_or(u32::MAX);
            (name.clone(), Class { price, deadline: class.deadline.0.std() })
        });
        Self {
            version,
            customers: customers.collect(),
            classes: classes.collect(),
            services: desired.services.clone(),
            centres: desired.data_centres.keys().cloned().collect(),
            peering: self.peering.clone(),
        }
    }

    /// The view with another peering.
    pub fn with_peering(&self, peering: CellView) -> Self {
        Self {
            version: self.version,
            customers: self.customers.clone(),
            classes: self.classes.clone(),
            services: self.services.clone(),
            centres: self.centres.clone(),
            peering,
        }
    }

    /// The customer that a token belongs to.
    pub fn customer(&self, token: &str) -> Result<&Customer, Kind> {
        let hash: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        self.customers.get(&hash).ok_or(Kind::NoToken)
    }

    /// Where a gate of this or another data centre listens for peers.
    pub fn peer(&self, gate: &str) -> Option<SocketAddr> {
        self.peering.peers.get(gate).map(|p| p.1)
    }
}

fn decode_hash(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (n, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[n * 2..n * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}
