//! Follows the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, read_configuration, read_wave, topics, unframe_keyed};

use crate::host::Host;

/// How long a read waits for news; a cut that swallows the answer is noticed soon after.
const WAIT: Duration = Duration::from_millis(1_500);

/// What an answer may take beyond that.
const BEYOND: Duration = Duration::from_millis(1_000);

/// The pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);

/// How long the newest records may take.
const NEWEST: Duration = Duration::from_millis(2_000);

/// Keeps the host's configuration up to date, for good.
pub async fn follow(host: Arc<Host>) {
    let mut from = None;
    loop {
        let step = match from {
            None => newest(&host).await,
            Some(at) => tail(&host, at).await,
        };
        match step {
            Ok(next) => {
                host.store_reached();
                from = Some(next);
            }
            Err(StoreError::Gone { first }) => {
                info!("event=configuration-log-cut first={first}");
                from = None;
            }
            Err(e) => {
                host.store_missed(&e);
                sleep(PAUSE).await;
            }
        }
    }
}

async fn newest(host: &Host) -> Result<u64, StoreError> {
    let mut after = String::new();
    let mut end = None;
    loop {
        let page = host.store.newest(topics::OPERATOR, 0, &after, NEWEST).await?;
        end = end.or(Some(page.end));
        for item in &page.items {
            take(host, &item.key, &item.value);
        }
        match page.items.last() {
            Some(last) if page.more => after.clone_from(&last.key),
            _ => return Ok(end.unwrap_or_default()),
        }
    }
}

async fn tail(host: &Host, from: u64) -> Result<u64, StoreError> {
    let page = host.store.read(topics::OPERATOR, 0, from, WAIT, WAIT + BEYOND).await?;
    let next = from + page.records.len() as u64;
    for record in page.records {
        match unframe_keyed(record) {
            Ok(framed) => take(host, &framed.key, &framed.value),
            Err(e) => warn!("event=configuration-unread reason=\"{e}\""),
        }
    }
    Ok(next)
}

fn take(host: &Host, key: &str, value: &[u8]) {
    if value.is_empty() {
        return;
    }
    if key.starts_with(topics::WAVES) {
        match read_wave(value) {
            Ok(wave) => host.add_wave(wave),
            Err(e) => warn!("event=wave-unread key={key} reason=\"{e}\""),
        }
    }
    if key == topics::CONFIGURATION {
        match read_configuration(value) {
            Ok(configuration) => host.configure(configuration),
            Err(e) => warn!("event=configuration-unread reason=\"{e}\""),
        }
    }
}
