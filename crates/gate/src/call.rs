//! What the headers of a caller's request ask for.

use std::time::Duration;

use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::http::request::Parts;
use uuid::Uuid;

use myrtle_base::Kind;

use crate::view::{Customer, View};

/// Names the class; docs/OPERATING.md describes this header and those below.
pub const CLASS: &str = "myrtle-class";
/// The time that the caller allows, in milliseconds.
pub const DEADLINE: &str = "myrtle-deadline-ms";
/// States whether a request is safe to repeat, in place of its method.
pub const REPEAT: &str = "myrtle-repeat";
/// Marks a long-lived request that streams both ways.
pub const WATCH: &str = "myrtle-watch";
/// Names the service; needed if there are several.
pub const SERVICE: &str = "myrtle-service";
/// Names the data centre whose gates coordinate the key.
pub const HOME: &str = "myrtle-home";
/// The caller's key of an unsafe request.
pub const KEY: &str = "idempotency-key";

/// The longest deadline: a slot that is used for longer than a gate's allocation lasts is no longer
/// counted.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// A request that may be served.
#[derive(Debug, Clone)]
pub struct Call {
    /// The customer that pays.
    pub customer: String,
    /// The customer's number.
    pub customer_number: u32,
    /// The class.
    pub class: String,
    /// The price of the class.
    pub price: u32,
    /// The time that the caller allows.
    pub limit: Duration,
    /// The service.
    pub service: String,
    /// The largest allowed body, in bytes.
    pub max_body: u64,
    /// Whether it may be run more than once.
    pub safe: bool,
    /// Whether it streams both ways, without a deadline.
    pub watch: bool,
    /// The key of an unsafe request.
    pub key: Option<Uuid>,
    /// The data centre whose gates coordinate the key.
    pub home: Option<String>,
}

/// The kind of refusal and its exact cause.
pub type Invalid = (Kind, String);

impl Call {
    /// Reads and checks the headers of a request.
    pub fn read(head: &Parts, view: &View) -> Result<Self, Invalid> {
        let headers = &head.headers;
        let customer = customer(headers, view)?;
        let class = match text(headers, CLASS)? {
            Some(class) => class,
            None => customer.classes.first().ok_or((Kind::NoClass, String::new()))?,
        };
        if !customer.classes.iter().any(|c| c == class) {
            let detail = format!("party '{}' may not use the class '{class}'", customer.name);
            return Err((Kind::NoClass, detail));
        }
        let Some(known) = view.classes.get(class) else {
            return Err((Kind::NoClass, format!("there is no class '{class}'")));
        };
        let (service, max_body) = service(headers, view)?;
        Ok(Self {
            customer: customer.name.clone(),
            customer_number: customer.number,
            class: class.into(),
            price: known.price,
            limit: limit(headers)?.unwrap_or(known.deadline).min(MAX_DEADLINE),
            service,
            max_body,
            safe: safe(head)?,
            watch: text(headers, WATCH)?.is_some(),
            key: key(headers)?,
            home: text(headers, HOME)?.map(String::from),
        })
    }
}

fn customer<'a>(headers: &HeaderMap, view: &'a View) -> Result<&'a Customer, Invalid> {
    let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = value.and_then(|v| v.strip_prefix("Bearer "));
    let token = token.ok_or((Kind::NoToken, String::new()))?;
    view.customer(token.trim()).map_err(|kind| (kind, String::new()))
}

fn service(headers: &HeaderMap, view: &View) -> Result<(String, u64), Invalid> {
    let found = match text(headers, SERVICE)? {
        Some(name) => view.services.get_key_value(name),
        None if view.services.len() == 1 => view.services.first_key_value(),
        None => None,
    };
    match found {
        Some((name, service)) => Ok((name.clone(), service.max_body)),
        None => {
            let names: Vec<_> = view.services.keys().cloned().collect();
            let detail = format!("set '{SERVICE}' to one of: {}", names.join(", "));
            Err((Kind::NoService, detail))
        }
    }
}

fn limit(headers: &HeaderMap) -> Result<Option<Duration>, Invalid> {
    let Some(value) = text(headers, DEADLINE)? else { return Ok(None) };
    match value.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => Err((Kind::BadRequest, format!("'{DEADLINE}' is no whole number above 0"))),
    }
}

fn safe(head: &Parts) -> Result<bool, Invalid> {
    match text(&head.headers, REPEAT)? {
        None => Ok(head.method.is_safe()),
        Some("safe") => Ok(true),
        Some("unsafe") => Ok(false),
        Some(_) => Err((Kind::BadRequest, format!("'{REPEAT}' is neither 'safe' nor 'unsafe'"))),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<Uuid>, Invalid> {
    let Some(value) = text(headers, KEY)? else { return Ok(None) };
    match Uuid::parse_str(value) {
        Ok(key) if myrtle_route::issued_at(&key).is_some() => Ok(Some(key)),
        _ => Err((Kind::BadKey, String::new())),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Invalid> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err((Kind::BadRequest, format!("'{name}' is not plain text"))),
    }
}
