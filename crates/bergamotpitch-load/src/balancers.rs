//! The balancer before the fleet: requests go only to routers that say they are ready.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;

use crate::experiments::{Experiment, StreamEntry};
use crate::fetches::{HttpClient, fetch_text};

/// Time between two looks at a router's readiness.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// `Balancer` knows which routers are ready.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    ready: Vec<Arc<AtomicBool>>,
}

impl Balancer {
    /// `of_experiment` takes every router for ready until a check says otherwise.
    pub fn of_experiment(experiment: &Experiment) -> Self {
        Self { ready: experiment.routers.iter().map(|_| Arc::new(AtomicBool::new(true))).collect() }
    }

    /// `spawn_checks` looks at each router's readiness until the tasks are dropped.
    pub fn spawn_checks(&self, client: &HttpClient, experiment: &Experiment) -> JoinSet<()> {
        let mut checks = JoinSet::new();
        for (router, ready) in experiment.routers.iter().zip(&self.ready) {
            let (client, ready, address) =
                (client.clone(), Arc::clone(ready), router.operator_address);
            checks.spawn(async move {
                loop {
                    let answer = tokio::time::timeout(
                        CHECK_INTERVAL,
                        fetch_text(&client, address, "/ready"),
                    );
                    ready.store(answer.await.is_ok_and(|answer| answer.is_ok()), Ordering::Relaxed);
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
            });
        }
        checks
    }

    /// `choose` returns a router of the stream that is ready, beginning with the wanted one; the
    /// wanted one when none is.
    pub fn choose(&self, experiment: &Experiment, stream: &StreamEntry, wanted: usize) -> usize {
        let names = &stream.routers;
        let first =
            names.iter().position(|name| *name == experiment.routers[wanted].name).unwrap_or(0);
        (0..names.len())
            .filter_map(|step| {
                let name = &names[(first + step) % names.len()];
                experiment.routers.iter().position(|router| router.name == *name)
            })
            .find(|router| self.ready[*router].load(Ordering::Relaxed))
            .unwrap_or(wanted)
    }
}
