//! Sheet runs: control states that hear of sheets from the fake platform and from each other, in
//! virtual time, with cut links, restarts without memory and pauses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::configuration::sheet_syncs::SheetGuards;
use bergamotpitch_control::inputs::Sender;
use bergamotpitch_control::{Input, Options, Output, Tables, step};
use bergamotpitch_core::ids::{SheetVersion, id_of_name};
use bergamotpitch_core::sheets::{AcceptedSheet, Sheet};
use bergamotpitch_core::units::Timestamp;

use crate::randoms::{self, Random};
use crate::sheet_histories::InForce;

/// Time between two steps.
pub const TICK: Duration = Duration::from_millis(20);

/// Time between two calls of a watcher.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a call to the platform fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// `SheetFleet` is a fleet of control states around a platform.
#[derive(Debug)]
pub struct SheetFleet {
    /// Present time.
    pub now: Timestamp,
    /// Version that the platform holds.
    pub version: SheetVersion,
    /// Routers.
    pub routers: Vec<SheetRouter>,
    /// What came into force.
    pub history: Vec<InForce>,
    /// Calls to the platform.
    pub calls: u64,
    /// Fetches from a router of another domain.
    pub cross_fetches: u64,
    guards: SheetGuards,
    random: Random,
}

/// `SheetRouter` is one router.
#[derive(Debug)]
pub struct SheetRouter {
    /// Failure domain that it stands in, by number.
    pub domain: usize,
    /// Life, from 0.
    pub life: usize,
    /// Time until which it sleeps.
    pub paused_until: Timestamp,
    /// Time until which it does not run, so that nothing sent to it is kept.
    pub gone_until: Timestamp,
    /// True while it does not reach the platform.
    pub platform_cut: bool,
    /// Routers whose messages do not reach it.
    pub cut_from: Vec<usize>,
    /// Its control state.
    pub tables: Tables,
    inbox: Vec<(Timestamp, Input)>,
    watching: bool,
    next_call: Timestamp,
}

/// `new_fleet` makes a fleet with so many routers in each domain.
pub fn new_fleet(domains: &[usize], guards: SheetGuards, seed: u64) -> SheetFleet {
    let mut fleet = SheetFleet {
        now: Duration::ZERO,
        version: 0,
        routers: Vec::new(),
        history: Vec::new(),
        calls: 0,
        cross_fetches: 0,
        guards,
        random: randoms::seeded(seed),
    };
    let places = domains.iter().enumerate().flat_map(|(domain, count)| vec![domain; *count]);
    let places: Vec<usize> = places.collect();
    for (index, domain) in places.iter().enumerate() {
        let tables = fresh_tables(index, *domain, 0, places.len(), guards);
        fleet.routers.push(SheetRouter {
            domain: *domain,
            life: 0,
            paused_until: Duration::ZERO,
            gone_until: Duration::ZERO,
            platform_cut: false,
            cut_from: Vec::new(),
            tables,
            inbox: Vec::new(),
            watching: true,
            next_call: Duration::ZERO,
        });
    }
    fleet
}

/// `accept` lets the platform accept a next version.
pub fn accept(fleet: &mut SheetFleet) -> SheetVersion {
    fleet.version += 1;
    fleet.version
}

/// `restart` restarts a router without memory; it is gone for a time.
pub fn restart(fleet: &mut SheetFleet, router: usize, gone_for: Duration) {
    let count = fleet.routers.len();
    let guards = fleet.guards;
    let now = fleet.now;
    let entry = &mut fleet.routers[router];
    entry.life += 1;
    entry.tables = fresh_tables(router, entry.domain, entry.life, count, guards);
    entry.inbox.clear();
    entry.watching = true;
    entry.paused_until = now + gone_for;
    entry.gone_until = now + gone_for;
    entry.next_call = now;
}

/// `pause` lets a router sleep; what is sent to it waits.
pub fn pause(fleet: &mut SheetFleet, router: usize, length: Duration) {
    fleet.routers[router].paused_until = fleet.now + length;
}

/// `cut_platform` cuts routers from the platform, or mends the way.
pub fn cut_platform(fleet: &mut SheetFleet, routers: &[usize], is_cut: bool) {
    for router in routers {
        fleet.routers[*router].platform_cut = is_cut;
    }
}

/// `version_of` is the version in force at a router; 0 when there is none.
pub fn version_of(fleet: &SheetFleet, router: usize) -> SheetVersion {
    fleet.routers[router].tables.sheet.as_ref().map_or(0, |sheet| sheet.version)
}

/// `run_for` runs the fleet for a time.
pub fn run_for(fleet: &mut SheetFleet, length: Duration) {
    let until = fleet.now + length;
    while fleet.now < until {
        fleet.now += TICK;
        for router in 0..fleet.routers.len() {
            if fleet.routers[router].paused_until <= fleet.now {
                turn(fleet, router);
            }
        }
    }
}

fn turn(fleet: &mut SheetFleet, router: usize) {
    call_platform(fleet, router);
    let now = fleet.now;
    let entry = &mut fleet.routers[router];
    let (mut due, later): (Vec<_>, Vec<_>) =
        std::mem::take(&mut entry.inbox).into_iter().partition(|(at, _)| *at <= now);
    entry.inbox = later;
    due.sort_by_key(|(at, _)| *at);
    let inputs = due.into_iter().map(|(_, input)| input).collect();
    for output in step(&mut entry.tables, now, inputs) {
        put_out(fleet, router, output);
    }
}

fn call_platform(fleet: &mut SheetFleet, router: usize) {
    let now = fleet.now;
    let delay = Duration::from_millis(2) + draw(fleet, Duration::from_millis(30));
    let version = fleet.version;
    let entry = &mut fleet.routers[router];
    if !entry.watching || now < entry.next_call {
        return;
    }
    entry.next_call = now + CALL_INTERVAL;
    fleet.calls += 1;
    if entry.platform_cut {
        entry.next_call = now + CALL_TIMEOUT;
        entry.inbox.push((now + CALL_TIMEOUT, Input::PlatformReachable(false)));
        return;
    }
    entry.inbox.push((now + delay, Input::PlatformReachable(true)));
    if 0 < version {
        entry.inbox.push((now + delay, Input::SheetLearned(sheet_of_version(version))));
    }
}

fn put_out(fleet: &mut SheetFleet, router: usize, output: Output) {
    match output {
        Output::Send { to, message } => {
            let other = usize::from(to.port()) - 1;
            let delay = Duration::from_millis(1) + draw(fleet, Duration::from_millis(30));
            let at = fleet.now + delay;
            let sender = sender_of(fleet, router);
            let receiver = &fleet.routers[other];
            if !receiver.cut_from.contains(&router) && receiver.gone_until <= at {
                fleet.routers[other].inbox.push((at, Input::Received { sender, message }));
            }
        }
        Output::FetchSheet { from, .. } => {
            let other = usize::from(from.port()) - 1;
            let is_cut = fleet.routers[other].cut_from.contains(&router)
                || fleet.routers[router].cut_from.contains(&other);
            let is_paused = fleet.now < fleet.routers[other].paused_until;
            let sheet = fleet.routers[other].tables.sheet.clone();
            if let Some(sheet) = sheet.filter(|_| !is_cut && !is_paused) {
                let at = fleet.now + Duration::from_millis(4);
                let is_cross = fleet.routers[router].domain != fleet.routers[other].domain;
                fleet.cross_fetches += u64::from(is_cross);
                fleet.routers[router].inbox.push((at, Input::PeerSheetLearned(sheet)));
            }
        }
        Output::PutInForce(sheet) => {
            let life = fleet.routers[router].life;
            fleet.history.push(InForce { at: fleet.now, router, life, version: sheet.version });
        }
        Output::WatchSheet { watching } => fleet.routers[router].watching = watching,
        _ => {}
    }
}

fn fresh_tables(
    router: usize,
    domain: usize,
    life: usize,
    router_count: usize,
    sheet_guards: SheetGuards,
) -> Tables {
    let options = Options {
        instance: id_of_name(&format!("router-{router}")),
        incarnation: life as u64 + 1,
        domain: id_of_name(&format!("domain-{domain}")),
        first_peers: (0..router_count).filter(|peer| *peer != router).map(address_of).collect(),
        sheet_guards,
        ..Options::default()
    };
    Tables { options, ..Tables::default() }
}

fn sender_of(fleet: &SheetFleet, router: usize) -> Sender {
    let options = &fleet.routers[router].tables.options;
    Sender {
        instance: options.instance,
        incarnation: options.incarnation,
        domain: options.domain,
        address: address_of(router),
    }
}

fn address_of(router: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], router as u16 + 1))
}

fn sheet_of_version(version: SheetVersion) -> Arc<AcceptedSheet> {
    let sheet = Sheet {
        domains: Vec::new(),
        services: Vec::new(),
        upstreams: Vec::new(),
        teams: Vec::new(),
    };
    Arc::new(AcceptedSheet { version, sheet })
}

fn draw(fleet: &mut SheetFleet, most: Duration) -> Duration {
    most.mul_f64(randoms::unit(&mut fleet.random))
}
