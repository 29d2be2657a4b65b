//! Maintenance waves with real processes and the stand-in of the machine service, across owners that end.

mod common;

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::sleep;

use myrtle_standin::{MachineMode, MachineService};

use common::{Site, owner, until};

/// The number of the wave.
const WAVE: u64 = 5;

/// The number of a wave that shares its first machine with the other one.
const NEXT_WAVE: u64 = 6;

/// The number of machines in the wave.
const MACHINES: usize = 3;

/// How long a machine is down: longer than the next owner takes to begin after one was killed.
const DOWN: Duration = Duration::from_millis(3_500);

/// A site of two hosts, and its machine service.
struct Maintained {
    site: Site,
    service: Arc<MachineService>,
    hosts: u32,
}

impl Maintained {
    /// Starts the site; `limit` machines may be down at once.
    async fn start(limit: usize) -> Self {
        let mut site = Site::without_hosts(Duration::from_millis(60)).await;
        let (workers, store) = (site.runners.clone(), site.store.clone());
        let service = MachineService::start(workers, store, WAVE, limit, DOWN).await.unwrap();
        for name in ["h1", "h2"] {
            site.maintained_host(name, &service).await;
        }
        Self { site, service, hosts: 2 }
    }

    /// Orders the wave.
    fn order(&self, limit: usize) {
        let order = json!({ "wave": WAVE, "machines": self.service.names()[..MACHINES], "duration_s": 60,
            "upper_limit": limit });
        self.site.store.put("keyed.op", &format!("wave/{WAVE}"), order.to_string().as_bytes());
    }

    /// Waits until so many machines have gone down.
    async fn wait_begun(&self, count: usize) {
        until(|| async { self.service.holders().len() >= count }).await;
    }

    /// Ends the owner by a signal and starts another host.
    async fn end_owner(&mut self, signal: Signal) {
        let name = owner(&self.site).await;
        let ended = self.site.hosts.remove(&name);
        if let Some(host) = &ended {
            host.signal(signal);
        }
        self.hosts += 1;
        self.site.maintained_host(&format!("h{}", self.hosts), &self.service).await;
    }

    /// Waits until a wave is shown as complete.
    async fn wait_complete(&self, wave: u64) {
        until(|| async {
            let key = format!("wave/{wave}");
            let status = self.site.store.value("keyed.status", &key).unwrap_or_default();
            String::from_utf8_lossy(&status).contains("completed")
        })
        .await;
    }

    /// Waits until the wave is complete, and checks that never too many machines were down.
    async fn check(&self) {
        self.wait_complete(WAVE).await;
        assert_eq!(self.service.beyond(), vec![]);
        assert_eq!(self.service.holders().len(), MACHINES);
    }
}

/// Defines a test with a site of which some machines may be down at once.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $limit:expr, $site:ident, $body:block) => {
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Maintained::start($limit).await;
            $site.order($limit);
            $body
            $site.check().await;
        }
    };
}

case!(
    /// Guards against a successor that knows nothing of the machine which is down and takes down the next one.
    a_wave_keeps_to_its_limit_when_its_owner_is_stopped, 1, site, {
        site.wait_begun(1).await;
        sleep(Duration::from_millis(100)).await;
        site.end_owner(Signal::SIGTERM).await;
    }
);

case!(
    /// The same where the owner has no time to write what the machine service answered.
    a_wave_keeps_to_its_limit_when_its_owner_is_killed, 1, site, {
        site.wait_begun(1).await;
        site.end_owner(Signal::SIGKILL).await;
    }
);

case!(
    /// The same where two may be down, and owners end one after the other.
    a_wave_keeps_to_its_limit_through_owners_in_a_row, 2, site, {
        site.wait_begun(2).await;
        site.end_owner(Signal::SIGTERM).await;
        site.end_owner(Signal::SIGKILL).await;
    }
);

// Guards against a wave that takes the worker after another wave's maintenance for that after its own, and goes on to
// the next machine beside the one that is down; needs no disruption.
#[tokio::test]
async fn waves_that_share_a_machine_keep_to_their_limits() {
    let site = Maintained::start(1).await;
    site.service.add_wave(NEXT_WAVE, 1);
    site.service.cut_power();
    let names = site.service.names();
    let shared = [&names[0], &names[MACHINES]];
    let next = json!({ "wave": NEXT_WAVE, "machines": shared, "duration_s": 60, "upper_limit": 1 });
    site.order(1);
    site.site.store.put("keyed.op", &format!("wave/{NEXT_WAVE}"), next.to_string().as_bytes());
    site.wait_complete(WAVE).await;
    site.wait_complete(NEXT_WAVE).await;
    assert_eq!(site.service.beyond(), vec![]);
    assert_eq!(site.service.holders().len(), MACHINES + shared.len());
}

case!(
    /// Guards against an order that was carried out without an answer before its owner ended.
    a_wave_keeps_to_its_limit_when_answers_are_lost, 1, site, {
        site.service.set(MachineMode::Mute);
        site.wait_begun(1).await;
        site.end_owner(Signal::SIGKILL).await;
        site.service.set(MachineMode::Ok);
    }
);

case!(
    /// Guards against orders that are sent again while one is under way, and at a fixed pace however often they fail.
    a_machine_service_that_refuses_is_sent_few_orders, 3, site, {
        site.service.set(MachineMode::Refusing);
        sleep(Duration::from_millis(4_000)).await;
        let orders = site.service.orders();
        assert!(orders <= MACHINES as u32 * 5, "{orders} orders");
        site.service.set(MachineMode::Ok);
    }
);
