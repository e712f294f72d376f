//! The fleet's requests to second upstreams stay within the shared budget.

use std::time::Duration;

use bergamotpitch_control::traffic::fleet_sizes::FleetSize;
use bergamotpitch_control::traffic::retry_budgets::{FixedParts, Holder, Options, RetryBudget};

const OPTIONS: Options = Options {
    ratio: 0.2,
    fixed: 54.0,
    window: Duration::from_secs(10),
    fixed_after: Duration::from_secs(10),
};

/// An instance has known the fleet since it started.
const KNOWN: Option<Duration> = Some(Duration::ZERO);

/// Requests and repeats of a whole fleet.
#[derive(Default)]
struct Counts {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Counts {
    /// Requests count in the window of the repeats or in the one before, whichever has more.
    fn check(&self, now: Duration) {
        let within = |times: &[Duration], end: Duration| {
            let is_within = |time: &&Duration| **time <= end && end < **time + OPTIONS.window;
            times.iter().filter(is_within).count() as f64
        };
        let before = now.saturating_sub(OPTIONS.window);
        let requests = within(&self.requests, now).max(within(&self.requests, before));
        let (repeats, allowed) = (within(&self.repeats, now), OPTIONS.ratio * requests);
        assert!(repeats <= allowed + OPTIONS.fixed, "{repeats} repeats of {requests} requests");
    }
}

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

/// Guards against a budget that is spent twice: instances are killed, alone or all together, and the next
/// life knows nothing of what the one before has sent again.
#[test]
fn restarted_fleet() {
    arbtest::arbtest(|random| {
        let instances: usize = random.int_in_range(1..=8)?;
        let new = |started| (RetryBudget::default(), started);
        let mut budgets: Vec<_> = (0..instances).map(|_| new(Duration::ZERO)).collect();
        let mut counts = Counts::default();
        let mut now = OPTIONS.window;
        for _ in 0..200 {
            now += Duration::from_millis(random.int_in_range(0..=600)?);
            match random.int_in_range(0..=40)? {
                0 => budgets.iter_mut().for_each(|budget| *budget = new(now)),
                1..=4 => budgets[random.int_in_range(0..=instances - 1)?] = new(now),
                _ => {}
            }
            let (budget, started) = &mut budgets[random.int_in_range(0..=instances - 1)?];
            let own = now - *started;
            budget.note_request(own, &OPTIONS);
            counts.requests.push(now);
            let usable = FixedParts::default().usable(1, KNOWN, own, &OPTIONS);
            let fixed = OPTIONS.fixed * usable / instances as f64;
            while budget.take_within(own, fixed, &OPTIONS) {
                counts.repeats.push(now);
            }
            counts.check(now);
        }
        Ok(())
    })
    .seed(0x7e1a_0002_0000_0100);
}

/// Guards against a budget that each instance takes for its own: their entries in the list of members have
/// lapsed together, and each finds nobody else there for some seconds.
#[test]
fn lapsed_members() {
    arbtest::arbtest(|random| {
        let instances: usize = random.int_in_range(2..=8)?;
        let mut budgets: Vec<_> = (0..instances).map(|_| RetryBudget::default()).collect();
        let mut sizes: Vec<_> = (0..instances).map(|_| FleetSize::default()).collect();
        let mut counts = Counts::default();
        let lapsed = Duration::from_secs(20)..Duration::from_secs(26);
        let mut now = Duration::ZERO;
        for _ in 0..200 {
            now += Duration::from_millis(random.int_in_range(0..=500)?);
            let number = random.int_in_range(0..=instances - 1)?;
            let known = if lapsed.contains(&now) { 1 } else { instances };
            // Each hears of the others at all times.
            let known = sizes.iter_mut().map(|size| size.largest(now, known)).collect::<Vec<_>>();
            budgets[number].note_request(now, &OPTIONS);
            counts.requests.push(now);
            while budgets[number].take(now, known[number], &OPTIONS) {
                counts.repeats.push(now);
            }
            counts.check(now);
        }
        Ok(())
    })
    .seed(0x7e1a_0003_0000_0100);
}

/// Guards against a budget that instances divide among fewer than there are: each starts at another moment, reads
/// some time later who is listed by then, and learns of the others later still or never.
#[test]
fn unknown_fleet() {
    arbtest::arbtest(|random| {
        let instances: usize = random.int_in_range(2..=8)?;
        let delays = |random: &mut arbtest::arbitrary::Unstructured<'_>, most: u64| {
            let mut delay = || Ok(Duration::from_millis(random.int_in_range(0..=most)?));
            (0..instances).map(|_| delay()).collect::<arbtest::arbitrary::Result<Vec<_>>>()
        };
        let started = delays(random, 8_000)?;
        let read = delays(random, 2_000)?;
        let heard = delays(random, 9_000)?;
        let mut budgets: Vec<_> = (0..instances).map(|_| RetryBudget::default()).collect();
        let mut sizes: Vec<_> = (0..instances).map(|_| FleetSize::default()).collect();
        let mut counts = Counts::default();
        for step in 0..300 {
            let now = Duration::from_millis(100 * step);
            for (number, budget) in budgets.iter_mut().enumerate() {
                let first_read = started[number] + read[number];
                if now < started[number] {
                    continue;
                }
                let known_at = if now < first_read + heard[number] { first_read } else { now };
                let listed = started.iter().filter(|started| **started <= known_at).count();
                if first_read <= now {
                    sizes[number].note_listed(now);
                }
                let listed = if now < first_read { 1 } else { listed };
                let size = sizes[number].largest(now, listed);
                let known_since = sizes[number].known_since();
                let usable = FixedParts::default().usable(1, known_since, now, &OPTIONS);
                while budget.take_within(now, OPTIONS.fixed * usable / size as f64, &OPTIONS) {
                    counts.repeats.push(now);
                }
            }
            counts.check(now);
        }
        Ok(())
    })
    .seed(0x7e1a_0004_0000_0040);
}

/// Repeats that are allowed and asked for in one window, in six domains of instances that receive 2.8 requests
/// each, of which one in seven fails. Each instance counts its own, or the dispatcher of each domain counts all.
fn allowed_of_failed(domain_instances: usize, is_pooled: bool) -> (usize, usize) {
    const DOMAINS: usize = 6;
    let fleet = DOMAINS * domain_instances;
    let options = Options { fixed: 1.06 * fleet as f64, ..OPTIONS };
    let budgets = if is_pooled { DOMAINS } else { fleet };
    let mut budgets: Vec<RetryBudget> = (0..budgets).map(|_| RetryBudget::default()).collect();
    let mut parts = FixedParts::default();
    if is_pooled {
        parts.update(Holder::This, Duration::ZERO, &options);
    }
    let start = options.window;
    let (mut allowed, mut failed) = (0, 0);
    let requests = (2.8 * fleet as f64) as usize;
    for number in 0..requests {
        let now = start + options.window.mul_f64(number as f64 / requests as f64);
        // Callers come to instances at random.
        let instance = (number * 7_919) % 104_729 % fleet;
        let count = budgets.len();
        let budget = &mut budgets[instance % count];
        budget.note_request(now, &options);
        if number % 7 == 0 {
            failed += 1;
            let usable = parts.usable(domain_instances, KNOWN, now, &options);
            let fixed = options.fixed * usable / fleet as f64;
            allowed += usize::from(budget.take_within(now, fixed, &options));
        }
    }
    assert!(allowed as f64 <= options.ratio * requests as f64 + options.fixed);
    (allowed, failed)
}

/// Guards against calls that fail in a large fleet while nearly all of its retry budget is left: an instance that
/// receives a few requests in a window has a part of less than one repeat.
#[test]
fn small_parts() {
    for domain_instances in [164, 330] {
        let (alone, failed) = allowed_of_failed(domain_instances, false);
        let (pooled, _) = allowed_of_failed(domain_instances, true);
        println!("{domain_instances} instances a domain: {alone}, pooled {pooled} of {failed}");
        assert_eq!(pooled, failed);
        assert!(2 * alone < failed);
    }
}

/// Guards against a pool that two dispatchers use within one window, one after the other.
#[test]
fn two_holders() {
    let mut parts = FixedParts::default();
    parts.update(Holder::This, Duration::ZERO, &OPTIONS);
    assert_eq!(parts.usable(9, KNOWN, OPTIONS.window, &OPTIONS), 5.0);
    let mut next = FixedParts::default();
    next.update(Holder::Other, Duration::ZERO, &OPTIONS);
    next.update(Holder::This, OPTIONS.window, &OPTIONS);
    assert_eq!(next.usable(9, KNOWN, 2 * OPTIONS.window - Duration::from_millis(1), &OPTIONS), 0.5);
    assert_eq!(next.usable(9, KNOWN, 2 * OPTIONS.window, &OPTIONS), 5.0);
}

/// Guards against a budget that is spent twice where requests begin to fail and all instances are killed a moment
/// later: of much traffic the ratio allows many repeats, and the next life knows nothing of them.
#[test]
fn killed_amid_failures() {
    const INSTANCES: usize = 7;
    for rate in [50, 250, 1_000] {
        for killed_after in [Duration::from_millis(300), Duration::from_millis(2_000)] {
            let new = |started| (RetryBudget::default(), started);
            let mut budgets: Vec<_> = (0..INSTANCES).map(|_| new(Duration::ZERO)).collect();
            let mut counts = Counts::default();
            let failing_from = Duration::from_secs(20);
            let mut kills = [failing_from + killed_after, failing_from + 2 * killed_after]
                .into_iter()
                .peekable();
            for number in 0..rate * 40 {
                let now = Duration::from_secs(1).mul_f64(f64::from(number) / f64::from(rate));
                if kills.next_if(|killed| *killed <= now).is_some() {
                    budgets.iter_mut().for_each(|budget| *budget = new(now));
                }
                let (budget, started) = &mut budgets[number as usize % INSTANCES];
                let own = now - *started;
                budget.note_request(own, &OPTIONS);
                counts.requests.push(now);
                let usable = FixedParts::default().usable(1, KNOWN, own, &OPTIONS);
                let fixed = OPTIONS.fixed * usable / INSTANCES as f64;
                if failing_from <= now && budget.take_within(own, fixed, &OPTIONS) {
                    counts.repeats.push(now);
                }
            }
            let repeats = counts.repeats.clone();
            repeats.iter().for_each(|repeat| counts.check(*repeat));
        }
    }
}

/// Guards against repeats that pile up where upstreams stand still: once they go on they read what was given up
/// there, long after the window in which it was sent elsewhere.
#[test]
fn standing_upstreams() {
    const INSTANCES: usize = 7;
    const UPSTREAMS: u64 = 9;
    const STANDING: u64 = 6;
    let fixed = OPTIONS.fixed / INSTANCES as f64;
    for standing_s in [8, 18, 35] {
        let mut budgets: Vec<_> = (0..INSTANCES).map(|_| RetryBudget::default()).collect();
        let mut counts = Counts::default();
        let mut held = Vec::new();
        for number in 0..60 * 70 {
            let now = Duration::from_secs(number) / 60;
            let stands = (20..20 + standing_s).contains(&now.as_secs());
            let budget = &mut budgets[number as usize % INSTANCES];
            budget.note_request(now, &OPTIONS);
            counts.requests.push(now);
            let upstream = number % UPSTREAMS;
            if stands && upstream < STANDING && budget.take_within(now, fixed, &OPTIONS) {
                budget.note_unread(upstream as u32, now);
                held.push(now);
            }
            if !stands {
                budget.note_read(upstream as u32, now);
                counts.repeats.extend(held.drain(..).map(|_| now));
                // Others fail once it goes on.
                if 20 < now.as_secs() && budget.take_within(now, fixed, &OPTIONS) {
                    counts.repeats.push(now);
                }
            }
            counts.check(now);
        }
        assert!(20 < counts.repeats.len(), "repeats must be used");
    }
}

/// A fleet before upstreams of which some stand still and the others fail four of five requests. Whatever an upstream
/// that stands still was sent arrives when it goes on, also what was given up and what a killed instance had sent.
struct StandingFleet {
    lives: Vec<(RetryBudget, Duration)>,
    standing: std::ops::Range<Duration>,
    /// Requests that upstreams which stand still will read.
    held: Vec<usize>,
    has_arrived: Vec<bool>,
    /// When requests are given up at an upstream that stands still, and by which instance, as of which life.
    given_up: std::collections::VecDeque<(Duration, usize, Duration, usize)>,
    counts: Counts,
}

impl StandingFleet {
    const INSTANCES: usize = 7;
    const UPSTREAMS: usize = 9;
    const STANDING: usize = 6;
    const PATIENCE: Duration = Duration::from_millis(800);

    fn new(standing: std::ops::Range<Duration>) -> Self {
        let mut lives = Vec::new();
        lives.resize_with(Self::INSTANCES, || (RetryBudget::default(), Duration::ZERO));
        Self {
            lives,
            standing,
            held: Vec::new(),
            has_arrived: Vec::new(),
            given_up: Default::default(),
            counts: Counts::default(),
        }
    }

    fn kill(&mut self, instance: usize, now: Duration) {
        self.lives[instance] = (RetryBudget::default(), now);
    }

    fn arrive(&mut self, request: usize, now: Duration) {
        if std::mem::replace(&mut self.has_arrived[request], true) {
            self.counts.repeats.push(now);
        }
    }

    fn stands(&self, upstream: usize, now: Duration) -> bool {
        upstream < Self::STANDING && self.standing.contains(&now)
    }

    fn send(&mut self, instance: usize, request: usize, upstream: usize, now: Duration) {
        let (budget, started) = &mut self.lives[instance];
        let own = now - *started;
        budget.note_sent(upstream as u32, own);
        if self.stands(upstream, now) {
            self.held.push(request);
            let started = self.lives[instance].1;
            self.given_up.push_back((now + Self::PATIENCE, instance, started, request));
            return;
        }
        self.lives[instance].0.note_read(upstream as u32, own);
        self.arrive(request, now);
    }

    fn repeat(&mut self, instance: usize, request: usize, unread: Option<usize>, now: Duration) {
        let (budget, started) = &mut self.lives[instance];
        let own = now - *started;
        let usable = FixedParts::default().usable(1, KNOWN, own, &OPTIONS);
        let fixed = OPTIONS.fixed * usable / Self::INSTANCES as f64;
        if !budget.take_within(own, fixed, &OPTIONS) {
            return;
        }
        let upstream = (request * 7 + 5) % Self::UPSTREAMS;
        if let Some(unread) = unread.or(self.stands(upstream, now).then_some(upstream)) {
            self.lives[instance].0.note_unread(unread as u32, own);
        }
        self.send(instance, request, upstream, now);
    }

    fn serve(&mut self, now: Duration) {
        while self.given_up.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, instance, started, request)) = self.given_up.pop_front() else { return };
            if self.lives[instance].1 == started && self.standing.contains(&now) {
                self.repeat(instance, request, Some(request % Self::UPSTREAMS), now);
            }
        }
        if self.standing.end <= now {
            for request in std::mem::take(&mut self.held) {
                self.arrive(request, now);
            }
        }
        let request = self.has_arrived.len();
        self.has_arrived.push(false);
        self.counts.requests.push(now);
        let instance = request % Self::INSTANCES;
        let (budget, started) = &mut self.lives[instance];
        let own = now - *started;
        budget.note_request(own, &OPTIONS);
        let upstream = request % Self::UPSTREAMS;
        self.send(instance, request, upstream, now);
        if !self.stands(upstream, now) && !request.is_multiple_of(5) {
            self.repeat(instance, request, None, now);
        }
        self.counts.check(now);
    }
}

/// Guards against repeats that pile up where instances end while upstreams stand still: each life sends again what
/// it may, and what the lives before have sent again arrives with it.
#[test]
fn killed_beside_standing() {
    let seconds = Duration::from_secs_f64;
    for (standing_s, killed_s) in [
        // All at once: half a second before the upstreams go on, in the middle, again and again.
        (18.0, vec![37.5]),
        (24.0, vec![31.0]),
        (38.0, vec![32.0, 44.0, 56.0]),
        // One after the other.
        (30.0, (0..20).map(|number| 20.0 + 1.5 * f64::from(number)).collect()),
    ] {
        let are_all = killed_s.len() < 10;
        let mut fleet = StandingFleet::new(seconds(20.0)..seconds(20.0 + standing_s));
        let mut kills = killed_s.iter().copied().map(seconds).enumerate().peekable();
        for number in 0..60 * 80 {
            let now = Duration::from_secs(number) / 60;
            while let Some((kill, at)) = kills.next_if(|(_, at)| *at <= now) {
                match are_all {
                    true => (0..StandingFleet::INSTANCES).for_each(|one| fleet.kill(one, at)),
                    false => fleet.kill(kill % StandingFleet::INSTANCES, at),
                }
            }
            fleet.serve(now);
        }
        assert!(20 < fleet.counts.repeats.len(), "repeats must be used");
    }
}

/// Guards against repeats that pile up at upstreams which stand still, where a dispatcher allows them: it forgets each
/// after a window, and those that were allowed them hold them.
#[test]
fn pooled_beside_standing() {
    const INSTANCES: usize = 8;
    const UPSTREAMS: usize = 9;
    const STANDING: usize = 6;
    for (rate, standing_s) in [(60, 38), (100, 50), (6, 50)] {
        let mut budgets: Vec<_> = (0..INSTANCES).map(|_| RetryBudget::default()).collect();
        let mut dispatcher = RetryBudget::default();
        let mut parts = FixedParts::default();
        parts.update(Holder::This, Duration::ZERO, &OPTIONS);
        let mut counts = Counts::default();
        let mut held = 0;
        for number in 0..rate * 120 {
            let now = Duration::from_secs(30) + Duration::from_secs(number) / rate as u32;
            let stands = (50..50 + standing_s).contains(&now.as_secs());
            let number = number as usize;
            counts.requests.push(now);
            dispatcher.note_request(now, &OPTIONS);
            let usable = parts.usable(INSTANCES, KNOWN, now, &OPTIONS);
            let pooled = OPTIONS.fixed * usable / INSTANCES as f64;
            let (instance, upstream) = (number % INSTANCES, number % UPSTREAMS);
            let even_part = OPTIONS.fixed / INSTANCES as f64;
            let budget = &mut budgets[instance];
            if stands
                && upstream < STANDING
                && !budget.holds_outdated(now, even_part, &OPTIONS)
                && dispatcher.take_within(now, pooled, &OPTIONS)
            {
                budget.note_unread(upstream as u32, now);
                held += 1;
            }
            if !stands && held != 0 {
                counts.repeats.extend(std::iter::repeat_n(now, std::mem::take(&mut held)));
            }
            counts.check(now);
        }
        assert!(20 < counts.repeats.len(), "repeats must be used");
    }
}
