//! Follows what the operator writes: the configuration, data centres that are to be emptied, waves of upkeep.

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

/// How long a read waits for news; a cut that swallows the answer is noticed soon after, and a host that hears
/// nothing from the store for half as long again is not ready.
const WAIT: Duration = Duration::from_millis(1_000);

/// What an answer may take beyond that.
const BEYOND: Duration = Duration::from_millis(1_000);

/// The first pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause between reads that fail, short against the time in which a host has to catch up.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// How long the newest records may take.
const NEWEST: Duration = Duration::from_millis(2_000);

/// Keeps the host's configuration up to date, for good.
pub async fn follow(host: Arc<Host>) {
    let mut from = None;
    let mut backoff = Backoff::new(PAUSE, LONGEST_PAUSE);
    loop {
        let step = match from {
            None => whole(&host).await,
            Some(at) => tail(&host, at).await,
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
                host.store_missed(&e);
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Reads the newest record of each key.
///
/// What it no longer shows was taken back while this host did not hear of it.
async fn whole(host: &Host) -> Result<u64, StoreError> {
    let mut emptied = BTreeSet::new();
    let end = newest(host, topics::OPERATOR, 0, NEWEST, |item| {
        match item.key.strip_prefix(topics::EMPTIED) {
            Some(centre) => drop(emptied.insert(centre.to_string())),
            None => take(host, &item.key, &item.value),
        }
    });
    let end = end.await?;
    if host.emptied.replace(emptied, &host.settings.data_centres) {
        tell_owned(host);
    }
    Ok(end)
}

/// Reads what the operator has written since; waits for it if there is nothing.
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

/// Takes in a record of the operator's; one that nothing here knows is told once.
fn take(host: &Host, key: &str, value: &[u8]) {
    if let Some(centre) = key.strip_prefix(topics::EMPTIED) {
        // Whatever the record holds, it asks; only its removal takes that back.
        if host.emptied.set(centre, !value.is_empty(), &host.settings.data_centres) {
            tell_owned(host);
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
    } else if host.strange.first(key) {
        host.meter.count("myrtle_operator_records_unknown", "");
        warn!("event=operator-record-unknown key={key} bytes={}", value.len());
    }
}

/// Tells the cells that this host owns which data centres are being emptied.
fn tell_owned(host: &Host) {
    for owned in host.all_owned() {
        empty(host, &owned);
    }
}

/// Tells a cell which data centres are being emptied.
pub fn empty(host: &Host, owned: &Owned) {
    let centres = host.emptied.centres();
    host.meter.level("myrtle_data_centres_emptied", "", centres.len() as i64);
    owned.state().empty_centres(&centres);
    owned.work.notify_one();
}
