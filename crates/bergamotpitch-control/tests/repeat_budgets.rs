//! The fleet's requests to second upstreams stay within the shared budget.

use std::time::Duration;

use bergamotpitch_control::traffic::retry_budgets::{Options, RetryBudget};

const OPTIONS: Options = Options { ratio: 0.2, fixed: 54.0, window: Duration::from_secs(10) };

/// Every engine of a service fails. If each instance sent every request twice, the service would
/// get twice the load at the moment at which it has least capacity. Whatever the numbers of
/// requests at each instance are, all windows of all instances together stay within the budget.
#[test]
fn whole_fleet() {
    arbtest::arbtest(|random| {
        let instances: usize = random.int_in_range(1..=12)?;
        let mut budgets: Vec<RetryBudget> =
            (0..instances).map(|_| RetryBudget::default()).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        let mut now = Duration::ZERO;
        for _ in 0..400 {
            now += Duration::from_millis(random.int_in_range(0..=200)?);
            let budget = &mut budgets[random.int_in_range(0..=instances - 1)?];
            budget.note_request(now, &OPTIONS);
            requests.push(now);
            if budget.take(now, instances, &OPTIONS) {
                repeats.push(now);
            }
            let within = |times: &[Duration]| {
                times.iter().filter(|time| now < **time + OPTIONS.window).count() as f64
            };
            let allowed = OPTIONS.ratio * within(&requests) + OPTIONS.fixed;
            assert!(within(&repeats) <= allowed, "{} repeats, {allowed}", within(&repeats));
        }
        Ok(())
    })
    .seed(0x7e1a_0001_0000_0100);
}

/// The budget is spent by a fault; when the window has passed, requests can be repeated again.
#[test]
fn spent_budget() {
    let mut budget = RetryBudget::default();
    let mut taken = 0;
    while budget.take(Duration::ZERO, 7, &OPTIONS) {
        taken += 1;
    }
    assert!(0 < taken && taken < 54 / 7 + 1, "{taken}");
    assert!(!budget.take(Duration::from_secs(9), 7, &OPTIONS));
    assert!(budget.take(Duration::from_secs(10), 7, &OPTIONS));
}
