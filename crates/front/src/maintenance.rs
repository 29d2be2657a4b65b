//! Carries out maintenance waves, for the owner of the first cell.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{
    MaintenanceReply, StoreError, WaveOrder, Writer, frame_keyed, topics, wave_status,
};
use myrtle_job::{decode, encode};
use myrtle_owner::{Maintenance, Wave};

use crate::clock::now;
use crate::host::Host;
use crate::names::{OWNER_WRITER, WAVES};
use crate::newest::newest;
use crate::owned::Owned;

/// The cell whose owner carries out waves; a single host has to count the machines that are down.
const WAVE_CELL: u32 = 0;

/// The time between two checks.
const EVERY: Duration = Duration::from_millis(200);

/// The time limit for a call to the store or the machine service.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// Runs until the owner is closed.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    if owned.cell != WAVE_CELL {
        return;
    }
    let mut writes = 0;
    let mut done: Option<BTreeMap<u64, BTreeSet<String>>> = None;
    while !owned.closed() {
        sleep(EVERY).await;
        let waves = host.waves();
        if waves.is_empty() {
            continue;
        }
        // The machines that earlier owners completed are read before the first wave continues.
        if done.is_none() {
            done = read(&host).await.inspect_err(|e| host.store_failed(e)).ok();
        }
        let Some(earlier) = &done else {
            continue;
        };
        for wave in waves {
            let completed = earlier.get(&wave.number).cloned().unwrap_or_default();
            owned.state().add_wave(wave_of(wave), completed, now());
        }
        let (orders, changes) = {
            let mut cell = owned.state();
            (cell.advance_waves(now()), cell.changed_waves())
        };
        for (machine, wave) in orders {
            let (host, owned) = (host.clone(), owned.clone());
            tokio::spawn(async move { order(&host, &owned, &machine, wave).await });
        }
        for (number, machines, complete) in changes {
            writes += 1;
            write(&host, &owned, writes, number, &machines, complete).await;
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
        return;
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

async fn read(host: &Host) -> Result<BTreeMap<u64, BTreeSet<String>>, StoreError> {
    let mut done = BTreeMap::new();
    newest(host, WAVES, 0, CALL_LIMIT, |item| match (item.key.parse(), decode(&item.value)) {
        (Ok(number), Ok(machines)) => drop(done.insert(number, machines)),
        _ => warn!("event=wave-record-unread key={}", item.key),
    })
    .await?;
    Ok(done)
}

/// Writes the progress of a wave under the owner's fencing token.
async fn write(
    host: &Host,
    owned: &Owned,
    call: u64,
    number: u64,
    machines: &BTreeSet<String>,
    complete: bool,
) {
    let mut record = BytesMut::new();
    frame_keyed(&mut record, &number.to_string(), &encode(machines));
    let mut status = BytesMut::new();
    let key = format!("{}{number}", topics::WAVES);
    frame_keyed(&mut status, &key, wave_status(complete).as_bytes());
    for (topic, body) in [(WAVES, record), (topics::STATUS, status)] {
        let body = body.freeze();
        let writer = Writer { name: OWNER_WRITER, epoch: owned.fence, seq: call };
        while let Err(e) = host.store.append(topic, 0, Some(writer), body.clone(), CALL_LIMIT).await
        {
            if matches!(e, StoreError::Fenced) {
                return owned.depose("the log of waves");
            }
            host.store_failed(&e);
            if owned.closed() {
                return;
            }
            sleep(EVERY).await;
        }
    }
    info!("event=wave-told wave={number} done={} complete={complete}", machines.len());
}
