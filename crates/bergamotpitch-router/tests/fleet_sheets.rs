//! A sheet that an operator applies comes into force at real routers, and none goes back.

mod fleets;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_ctl::sheets::apply;
use fleets::{
    close_without_reverts, set_faults, sheet_file, start_fleet, start_router, wait_event,
    wait_in_force,
};

/// One failure domain is cut off from the platform before the morning's sheet is applied. Its
/// routers must hear of the sheet from their peers, or that domain's teams would be refused all day.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domain_without_platform() {
    let fleet = start_fleet("without-platform").await;
    set_faults(fleet.platform.addresses[1], r#"{ "outage": true }"#).await;
    apply(&fleet.operator, &sheet_file("fleet-cut", 1), None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    apply(&fleet.operator, &sheet_file("fleet-cut", 2), Some(1)).await.unwrap();
    wait_in_force(&fleet, 2).await;
    close_without_reverts(fleet).await;
}

/// Two operators race and the answer to a write is lost. Whoever is told "applied" must find that
/// very sheet in force at every router.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn race_with_lost_answer() {
    let fleet = start_fleet("race").await;
    apply(&fleet.operator, &sheet_file("fleet-race", 1), None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    set_faults(fleet.platform.addresses[2], r#"{ "lose_next_answers": 1 }"#).await;
    let (two, three) = (sheet_file("fleet-race", 2), sheet_file("fleet-race", 3));
    let (first, second) = tokio::join!(
        apply(&fleet.operator, &two, Some(1)),
        apply(&fleet.operator, &three, Some(1))
    );
    let winner = if first.is_ok() { 2 } else { 3 };
    assert_ne!(first.is_ok(), second.is_ok(), "{first:?} {second:?}");
    wait_in_force(&fleet, 2).await;
    for router in &fleet.routers {
        let accepted = router.context().accepted.load_full().unwrap();
        assert_eq!(accepted.sheet.teams[0].share, winner);
    }
    close_without_reverts(fleet).await;
}

/// The platform is out for everyone and a router is replaced. It comes without memory and must get
/// the sheet from a peer, or each replacement during an outage would take capacity away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_in_outage() {
    let mut fleet = start_fleet("replaced").await;
    apply(&fleet.operator, &sheet_file("fleet-replaced", 1), None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    for address in fleet.platform.addresses.clone() {
        set_faults(address, r#"{ "outage": true }"#).await;
    }
    let old = fleet.routers.remove(1);
    old.close().await;
    let new = start_router(&fleet, 1, "zuid-a").await;
    fleet.routers.insert(1, new);
    wait_in_force(&fleet, 1).await;
    close_without_reverts(fleet).await;
}

/// A router is replaced in a failure domain that reads the platform through a slow replica that lags.
/// It hears of the new sheet from a peer first and reads the old one from the replica after that; the
/// teams' shares must not jump back to what operators had replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_copy_read_late() {
    let mut fleet = start_fleet("old-copy").await;
    apply(&fleet.operator, &sheet_file("fleet-old", 1), None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    // The replica answers later than peers do, and sooner than the router gives the call up.
    let lagging = fleet.platform.addresses[1];
    set_faults(lagging, r#"{ "frozen": true, "slow_ms": 700 }"#).await;
    apply(&fleet.operator, &sheet_file("fleet-old", 2), Some(1)).await.unwrap();
    let old = fleet.routers.remove(2);
    old.close().await;
    let new = start_router(&fleet, 2, "noord-oost-a").await;
    fleet.routers.push(new);
    wait_in_force(&fleet, 2).await;
    let passed_over = wait_event(&fleet, 2, EventKind::SheetPassedOver).await;
    let detail = passed_over.detail.as_deref();
    assert_eq!(detail, Some("version 1, while version 2 is in force"));
    close_without_reverts(fleet).await;
}
