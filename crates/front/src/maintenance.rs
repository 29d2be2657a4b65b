//! Carries out maintenance waves, for the owner of the first cell.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use log::{info, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use myrtle_adapter::{MaintenanceReply, StoreError, WaveOrder, frame_keyed, topics, wave_status};
use myrtle_job::{decode, encode};
use myrtle_owner::{Maintenance, Wave, WaveChange, WaveRecord};

use crate::backoff::Backoff;
use crate::clock::now;
use crate::host::Host;
use crate::names::{TURNS, WAVES};
use crate::newest::newest;
use crate::owned::Owned;
use crate::owner_append::{self, OwnerAppend};

/// The cell whose owner carries out waves; a single host has to count the machines that are down.
const WAVE_CELL: u32 = 0;

/// The time between two checks.
const EVERY: Duration = Duration::from_millis(200);

/// The time limit for a call to the store or the machine service.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// The call number of an owner's first write, which fences earlier owners off the log of waves.
const FENCE_WRITE: u64 = 0;

/// The key of that write.
const FENCE_KEY: &str = "owner";

/// What earlier owners have recorded, by the number of the wave.
type Records = BTreeMap<u64, WaveRecord>;

/// The number of writes to each topic so far.
#[derive(Debug, Default)]
struct Writes {
    records: u64,
    statuses: u64,
}

/// Runs until the owner is closed.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    if owned.cell != WAVE_CELL {
        return;
    }
    let mut writes = Writes::default();
    let mut records: Option<Records> = None;
    let replied = Arc::new(Notify::new());
    while !owned.closed() {
        // What has begun is recorded at once: a successor has to find out otherwise.
        let _ = timeout(EVERY, replied.notified()).await;
        let waves = host.waves();
        if waves.is_empty() {
            continue;
        }
        if records.is_none() {
            records = inherit(&host, &owned).await;
        }
        let Some(earlier) = &records else {
            continue;
        };
        for wave in waves {
            let record = earlier.get(&wave.number).cloned().unwrap_or_default();
            owned.state().add_wave(wave_of(wave), record, now());
        }
        let (orders, changes) = {
            let mut cell = owned.state();
            (cell.advance_waves(now()), cell.changed_waves())
        };
        for change in changes {
            if !write(&host, &owned, &mut writes, change).await {
                return;
            }
        }
        for (machine, wave) in orders {
            let (host, owned, replied) = (host.clone(), owned.clone(), replied.clone());
            tokio::spawn(async move {
                order(&host, &owned, &machine, wave).await;
                replied.notify_one();
            });
        }
        owned.wake.notify_one();
    }
}

fn wave_of(order: WaveOrder) -> Wave {
    let duration = order.duration.as_millis() as u64;
    Wave { number: order.number, machines: order.machines, duration, limit: order.limit }
}

async fn order(host: &Host, owned: &Owned, machine: &str, wave: u64) {
    let Some(machines) = &host.machines else {
        warn!("event=no-machine-service wave={wave} machine={machine}");
        return owned.state().maintenance_replied(wave, machine, Maintenance::Again, now());
    };
    if !owned.may_lease() {
        // After a pause of this process another host may own the cell, and not every machine service checks tokens.
        return owned.state().maintenance_replied(wave, machine, Maintenance::Again, now());
    }
    let name = &host.settings.name;
    let reply = machines.start_maintenance(machine, wave, name, owned.fence, CALL_LIMIT).await;
    let outcome = match reply {
        Ok(MaintenanceReply::Started) => Maintenance::Begun,
        Ok(MaintenanceReply::NotInWave) => Maintenance::Dropped,
        Ok(MaintenanceReply::Fenced) => {
            owned.depose("the machine service");
            Maintenance::Again
        }
        Ok(MaintenanceReply::Busy) => Maintenance::Again,
        Err(e) => {
            info!("event=upkeep-failed wave={wave} machine={machine} reason=\"{e}\"");
            Maintenance::Again
        }
    };
    owned.state().maintenance_replied(wave, machine, outcome, now());
}

/// Fences earlier owners off the log of waves, then reads what they have recorded; nothing if that fails.
async fn inherit(host: &Host, owned: &Owned) -> Option<Records> {
    let mut body = BytesMut::new();
    // Without a value no record stays.
    frame_keyed(&mut body, FENCE_KEY, &[]);
    if !append(host, owned, WAVES, FENCE_WRITE, body.freeze()).await {
        return None;
    }
    read(host).await.inspect_err(|e| host.store_failed(e)).ok()
}

async fn read(host: &Host) -> Result<Records, StoreError> {
    let mut records = Records::new();
    newest(host, WAVES, 0, CALL_LIMIT, |item| {
        if read_item(&mut records, &item.key, &item.value).is_none() {
            warn!("event=wave-record-unread key={}", item.key);
        }
    })
    .await?;
    Ok(records)
}

/// Reads a record of completed machines, or of those that may be down; nothing if it makes no sense.
fn read_item(records: &mut Records, key: &str, value: &[u8]) -> Option<()> {
    match key.strip_suffix(TURNS) {
        Some(number) => {
            let record = records.entry(number.parse().ok()?).or_default();
            record.turns = decode(value).ok()?;
        }
        None => {
            let record = records.entry(key.parse().ok()?).or_default();
            record.done = decode(value).ok()?;
        }
    }
    Some(())
}

/// Writes the progress of a wave under the owner's fencing token; false if the owner has ended.
async fn write(host: &Host, owned: &Owned, writes: &mut Writes, change: WaveChange) -> bool {
    let WaveChange { number, record: WaveRecord { done, turns }, complete, news } = change;
    let mut record = BytesMut::new();
    frame_keyed(&mut record, &number.to_string(), &encode(&done));
    frame_keyed(&mut record, &format!("{number}{TURNS}"), &encode(&turns));
    writes.records += 1;
    if !append(host, owned, WAVES, writes.records, record.freeze()).await {
        return false;
    }
    info!(
        "event=wave-told wave={number} done={} turns={} complete={complete}",
        done.len(),
        turns.len()
    );
    if !news {
        return true;
    }
    let mut status = BytesMut::new();
    let key = format!("{}{number}", topics::WAVES);
    frame_keyed(&mut status, &key, wave_status(complete).as_bytes());
    writes.statuses += 1;
    append(host, owned, topics::STATUS, writes.statuses, status.freeze()).await
}

/// Appends until the store has it; false if the owner has ended.
async fn append(host: &Host, owned: &Owned, topic: &str, number: u64, body: Bytes) -> bool {
    let append = OwnerAppend { topic, partition: 0, number, body, limit: CALL_LIMIT };
    owner_append::append(host, owned, append, Backoff::new(EVERY, EVERY)).await.is_some()
}
