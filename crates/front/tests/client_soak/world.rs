//! A site of three data centres: hosts as processes, workers and the store in this process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;

use myrtle_platform::serve;
use myrtle_standin::{Plans, RunLog, Store, StoreMode, WorkerStandin};

use crate::fleet::{CENTRES, Fleet};
use crate::settings::configuration;
use crate::stall::Stalls;

/// The number of workers in each data centre.
const WORKERS: usize = 4;

/// The run time of tasks without a plan; there are none.
const NO_PLAN: Duration = Duration::from_secs(1);

/// A worker with its data centre.
#[derive(Clone)]
pub struct Placed {
    /// The worker.
    pub worker: Arc<WorkerStandin>,
    centre: &'static str,
}

/// The site.
pub struct World {
    /// The platform's store.
    pub store: Arc<Store>,
    /// The runs on all workers.
    pub book: Arc<RunLog>,
    /// What tasks need and do.
    pub plans: Arc<Plans>,
    /// The workers.
    pub workers: Vec<Placed>,
    /// The hosts.
    pub fleet: Arc<Fleet>,
    /// The folder with the hosts' settings and logs.
    pub folder: PathBuf,
    /// The moments at which this process stood still.
    pub stalls: Stalls,
}

impl World {
    /// Starts a site; its folder is named by a seed.
    pub async fn start(seed: u64) -> Self {
        let folder = format!("myrtle-client-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let (store, store_at) = serve_store().await;
        let (book, plans) = (Arc::new(RunLog::default()), Arc::new(Plans::default()));
        let mut workers = Vec::new();
        for (centre, _) in CENTRES {
            for _ in 0..WORKERS {
                let name = format!("w{}", workers.len());
                let worker = WorkerStandin::start(&name, NO_PLAN, book.clone()).await.unwrap();
                worker.follow(&plans);
                let placed = Placed { worker, centre };
                placed.list(&store);
                workers.push(placed);
            }
        }
        store.put("keyed.op", "config", configuration(1).to_string().as_bytes());
        let fleet = Arc::new(Fleet::start(store_at, &folder).await);
        Self { store, book, plans, workers, fleet, folder, stalls: Stalls::watch() }
    }

    /// The host that owns the first cell.
    pub fn owner(&self) -> Option<String> {
        let rows = self.store.owners("cell-0");
        let member = rows.into_iter().find(|(part, _)| *part == 0)?.1;
        member.split('-').next().map(str::to_string)
    }

    /// The mean share of the workers that is in use.
    pub fn in_use(&self) -> f64 {
        let sum: f64 = self.workers.iter().map(|placed| placed.worker.in_use()).sum();
        sum / self.workers.len() as f64
    }

    /// The number of runs by the manner of their end.
    pub fn ends(&self) -> BTreeMap<&'static str, usize> {
        let mut ends = BTreeMap::new();
        for run in self.book.runs() {
            *ends.entry(run.ended.map_or("running", |(_, how)| how)).or_default() += 1;
        }
        ends
    }

    /// Ends all faults of workers and of the store.
    pub fn mend(&self) {
        self.store.set(StoreMode::Ok);
        self.workers.iter().for_each(|placed| placed.worker.mute(false));
    }
}

impl Placed {
    /// Writes its entry in the store.
    pub fn list(&self, store: &Store) {
        let listing = self.worker.listing_as(self.centre, "ready");
        store.put("keyed.servers", &self.worker.incarnation(), listing.as_bytes());
    }
}

async fn serve_store() -> (Arc<Store>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let store = Arc::new(Store::default());
    let served = store.clone();
    tokio::spawn(serve(listener, move |ask| {
        let store = served.clone();
        async move { store.handle(ask).await }
    }));
    (store, at)
}
