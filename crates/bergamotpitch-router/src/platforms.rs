//! Platforms: the watch of the sheet and the reading of the instance list.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::ListedInstance;
use bergamotpitch_platform::Platform;
use bergamotpitch_platform::instances::{Instance, ROUTER_SERVICE, UPSTREAM_SERVICE};
use tokio::task::JoinSet;

use crate::contexts::Context;

/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Time between two readings of the instance list by an instance that watches the platform.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two readings by any other instance; it hears of leaving upstreams from its peers.
const SLOW_LIST_INTERVAL: Duration = Duration::from_secs(15);

/// `spawn` starts the exchange with the platform.
pub fn spawn(context: &Arc<Context>, tasks: &mut JoinSet<()>) {
    let platform = context.platform.clone();
    tasks.spawn(watch_sheet(Arc::clone(context), platform.clone()));
    tasks.spawn(read_list(Arc::clone(context), platform));
}

async fn watch_sheet(context: Arc<Context>, platform: Platform) {
    let mut index = 0;
    let mut reachable = None;
    let mut watching = context.watching.subscribe();
    loop {
        // A waiting watch counts as a call, so that most instances leave it to a few of theirs.
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        let watched = platform.watch_sheet(index).await;
        if reachable != Some(watched.is_ok()) {
            reachable = Some(watched.is_ok());
            context.observe(Input::PlatformReachable(watched.is_ok())).await;
        }
        match watched {
            Ok(watched) => {
                index = watched.index;
                if let Some(sheet) = watched.sheet {
                    context.observe(Input::SheetLearned(sheet)).await;
                }
                // An answer without a change that comes at once must not become a busy loop.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!("the sheet cannot be watched: {error}");
                // A watch from the known index answers only at the next change or at the end of its
                // wait, and the platform would be taken for lost as long after it is back.
                index = 0;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

// The platform's rate of reads grows more slowly than the fleet: if every instance read the list each
// second, a few hundred of them would use it up, and claims and sheets would be refused.
async fn read_list(context: Arc<Context>, platform: Platform) {
    let mut watching = context.watching.subscribe();
    loop {
        // What the list says of upstreams that are leaving spreads by heartbeat. Read by each of some
        // hundred instances, the two lists would use up the rate of calls that all of them share.
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        match list(&platform).await {
            Ok(list) => context.observe(Input::Listed(list)).await,
            Err(error) => log::debug!("the instance list cannot be read: {error}"),
        }
        let is_watching = *watching.borrow_and_update();
        let interval = if is_watching { LIST_INTERVAL } else { SLOW_LIST_INTERVAL };
        // An instance that becomes a watcher reads at once.
        let _ = tokio::time::timeout(interval, watching.changed()).await;
    }
}

async fn list(platform: &Platform) -> bergamotpitch_platform::Result<Vec<ListedInstance>> {
    let routers = platform.list_instances(ROUTER_SERVICE).await?;
    let upstreams = platform.list_instances(UPSTREAM_SERVICE).await?;
    let routers = routers.into_iter().map(|instance| listed(instance, true));
    let upstreams = upstreams.into_iter().map(|instance| listed(instance, false));
    Ok(routers.chain(upstreams).collect())
}

fn listed(instance: Instance, is_router: bool) -> ListedInstance {
    ListedInstance {
        name: instance.name,
        address: instance.address,
        is_router,
        leaving: instance.leaving,
    }
}
