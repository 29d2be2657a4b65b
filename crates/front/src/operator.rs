//! Reads the operator's records: the configuration, evacuated data centres and maintenance waves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, read_configuration, read_wave, topics, unframe_keyed};

use crate::backoff::Backoff;
use crate::host::Host;
use crate::newest::newest;
use crate::owned::Owned;

/// How long a read waits for new records; a network partition shows soon after, and a host is not ready after half as
/// long again without an answer of the store.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// The time allowed for the reply to a waiting read beyond its wait.
const REPLY_MARGIN: Duration = Duration::from_millis(1_000);

/// The first pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed reads, short compared with the time in which a host has to catch up.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// The time limit for one page of the newest records.
const NEWEST_LIMIT: Duration = Duration::from_millis(2_000);

/// Follows the operator's records until the process ends.
pub async fn follow(host: Arc<Host>) {
    let mut from = None;
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    loop {
        let step = match from {
            None => read_newest(&host).await,
            Some(at) => read_next(&host, at).await,
        };
        match step {
            Ok(next) => {
                host.store_reached();
                backoff.reset();
                from = Some(next);
            }
            Err(StoreError::Gone { first }) => {
                info!("event=configuration-log-cut first={first}");
                from = None;
            }
            Err(e) => {
                host.store_failed(&e);
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Reads the newest record of each key; returns the next offset.
///
/// Evacuations without a record were withdrawn while this host did not read.
async fn read_newest(host: &Host) -> Result<u64, StoreError> {
    let mut evacuated = BTreeSet::new();
    let end = newest(host, topics::OPERATOR, 0, NEWEST_LIMIT, |item| {
        match item.key.strip_prefix(topics::EVACUATED) {
            Some(data_centre) => drop(evacuated.insert(data_centre.to_string())),
            None => apply(host, &item.key, &item.value),
        }
    });
    let end = end.await?;
    if host.evacuated.replace(evacuated, &host.settings.data_centres) {
        evacuate_owned(host);
    }
    Ok(end)
}

/// Reads the records from an offset, and waits if there are none; returns the next offset.
async fn read_next(host: &Host, from: u64) -> Result<u64, StoreError> {
    let page =
        host.store.read(topics::OPERATOR, 0, from, READ_WAIT, READ_WAIT + REPLY_MARGIN).await?;
    let next = from + page.records.len() as u64;
    for record in page.records {
        match unframe_keyed(record) {
            Ok(framed) => apply(host, &framed.key, &framed.value),
            Err(e) => warn!("event=configuration-unread reason=\"{e}\""),
        }
    }
    Ok(next)
}

/// Applies a record of the operator; an unknown key is logged once.
fn apply(host: &Host, key: &str, value: &[u8]) {
    if let Some(data_centre) = key.strip_prefix(topics::EVACUATED) {
        // Any value requests the evacuation; only the removal of the record withdraws it.
        if host.evacuated.set(data_centre, !value.is_empty(), &host.settings.data_centres) {
            evacuate_owned(host);
        }
        return;
    }
    if value.is_empty() {
        return;
    }
    if key.starts_with(topics::WAVES) {
        match read_wave(value) {
            Ok(wave) => host.add_wave(wave),
            Err(e) => warn!("event=wave-unread key={key} reason=\"{e}\""),
        }
    } else if key == topics::CONFIGURATION {
        match read_configuration(value) {
            Ok(configuration) => host.configure(configuration),
            Err(e) => warn!("event=configuration-unread reason=\"{e}\""),
        }
    } else if host.unknown_keys.insert(key) {
        host.meter.count("myrtle_operator_records_unknown", "");
        warn!("event=operator-record-unknown key={key} bytes={}", value.len());
    }
}

/// Applies the evacuated data centres to all cells that this host owns.
fn evacuate_owned(host: &Host) {
    for owned in host.all_owned() {
        evacuate(host, &owned);
    }
}

/// Applies the evacuated data centres to a cell.
pub fn evacuate(host: &Host, owned: &Owned) {
    let data_centres = host.evacuated.centres();
    host.meter.level("myrtle_data_centres_emptied", "", data_centres.len() as i64);
    owned.state().evacuate_centres(&data_centres);
    owned.wake.notify_one();
}
