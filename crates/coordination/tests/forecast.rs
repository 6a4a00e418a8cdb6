//! Guards against calls that all wait for full queues and are all late, against figures that are no
//! measurements, and against hosts with the same picture that choose the same endpoint.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::forecast::{Forecast, Load, admitted_share, spread_ms};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Instant = Instant::from_millis(10_000);
const WORK: Duration = Duration::from_millis(30);
const OBJECTIVE: Duration = Duration::from_millis(150);

const fn load(running: u32, waiting: u32, pace: f64) -> Load {
    Load {
        running,
        waiting,
        slots: 6,
        pace,
    }
}

#[test]
fn a_call_waits_for_those_ahead_at_the_pace_of_the_endpoint() {
    let mut forecast: Forecast<u8, ()> = Forecast::default();
    forecast.stated(1, load(6, 11, 2.0), NOW, true);
    let outlook = forecast.outlook(NOW, 1, 0, WORK).expect("a fresh load");
    assert_eq!(outlook.wait, Duration::from_millis(120));
    assert_eq!(outlook.end, Duration::from_millis(180));
    // Requests of this host that the endpoint has not counted yet.
    let outlook = forecast.outlook(NOW, 1, 23, WORK).expect("a fresh load");
    assert_eq!(outlook.wait, Duration::from_millis(180));
    assert_eq!(forecast.outlook(NOW, 2, 0, WORK), None);
}

#[test]
fn an_old_load_fades_to_an_idle_endpoint() {
    let mut forecast: Forecast<u8, ()> = Forecast::default();
    forecast.stated(1, load(6, 30, 2.5), NOW, true);
    let mut last = Duration::MAX;
    for millis in [0, 200, 400, 800, 2_000] {
        let outlook = forecast.outlook(NOW + Duration::from_millis(millis), 1, 0, WORK);
        let end = outlook.expect("not forgotten").end;
        assert!(end < last, "{millis} ms: {end:?}");
        last = end;
    }
    assert!(last < WORK.mul_f64(1.1));
    assert_eq!(
        forecast.outlook(NOW + Duration::from_secs(3), 1, 0, WORK),
        None
    );
}

#[test]
fn an_older_statement_does_not_replace_a_newer_one() {
    let mut forecast: Forecast<u8, ()> = Forecast::default();
    forecast.stated(1, load(6, 0, 1.0), NOW, false);
    forecast.stated(1, load(6, 30, 1.0), NOW - Duration::from_millis(5), true);
    let outlook = forecast.outlook(NOW, 1, 0, WORK).expect("a fresh load");
    assert_eq!(outlook.wait, Duration::from_millis(5));
    assert!(forecast.own_since(Instant::default()).is_empty());
}

#[test]
fn figures_that_are_no_measurements_are_refused() {
    for pace in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e9] {
        assert_eq!(load(1, 1, pace).checked(), None, "{pace}");
    }
    let none = Load {
        slots: 0,
        ..load(1, 1, 1.0)
    };
    assert_eq!(none.checked(), None);
    assert_eq!(load(u32::MAX, 1, 1.0).checked(), None);
    assert!(load(1, 1, 1.0).checked().is_some());
}

#[test]
fn calls_that_are_in_time_are_never_refused_and_urgent_ones_last() {
    let share =
        |millis, precedence| admitted_share(Duration::from_millis(millis), OBJECTIVE, precedence);
    assert!((share(60, 0.0) - 1.0).abs() < f64::EPSILON);
    assert!(share(300, 0.0) <= 0.0);
    assert!(share(120, 0.0) > share(120, 1.0));
}

/// Four endpoints with six slots and different speeds, 71 hosts that hear of their loads some 60 ms late, and
/// half more calls than the endpoints can run. Each endpoint queues 24 calls and refuses more.
/// Returns the calls in time, those that were late and those that were not served.
fn play(uses_forecast: bool) -> (u32, u32, u32) {
    const SPEEDS: [f64; 4] = [0.55, 0.8, 1.0, 1.3];
    const QUEUE: usize = 30;
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut queues: Vec<Vec<f64>> = vec![Vec::new(); 4];
    let mut slots = [[0.0_f64; 6]; 4];
    let mut forecast: Forecast<usize, ()> = Forecast::default();
    let (mut in_time, mut late, mut unserved) = (0, 0, 0);
    for millis in 0..5_000_u32 {
        let time = f64::from(millis);
        for (endpoint, queue) in queues.iter_mut().enumerate() {
            for slot in &mut slots[endpoint] {
                if *slot <= time && !queue.is_empty() {
                    let arrived = queue.remove(0);
                    *slot = time + 30.0 / SPEEDS[endpoint];
                    if *slot - arrived <= 150.0 {
                        in_time += 1;
                    } else {
                        late += 1;
                    }
                }
            }
            if millis % 60 == 15 * endpoint as u32 {
                let running = slots[endpoint].iter().filter(|end| **end > time).count();
                let load = Load {
                    running: running as u32,
                    waiting: queue.len() as u32,
                    slots: 6,
                    pace: 1.0 / SPEEDS[endpoint],
                };
                forecast.stated(endpoint, load, Instant::from_millis(millis.into()), true);
            }
        }
        // Some 1,100 calls a second; the endpoints run 730.
        for _ in 0..2 {
            if !random.random_bool(0.55) {
                continue;
            }
            let now = Instant::from_millis(millis.into());
            let mut best = (f64::INFINITY, 0, Duration::ZERO);
            for endpoint in 0..4 {
                let outlook = forecast.outlook(now, endpoint, 0, WORK);
                let end = outlook.map_or(WORK, |outlook| outlook.end);
                let draw = random.random_range(0.0..1.0);
                let cost = if uses_forecast {
                    end.as_secs_f64() * 1_000.0 + spread_ms(draw, WORK)
                } else {
                    draw
                };
                if cost < best.0 {
                    best = (cost, endpoint, end);
                }
            }
            let share = admitted_share(best.2, OBJECTIVE, 0.0);
            if uses_forecast && !random.random_bool(share) {
                unserved += 1;
            } else if queues[best.1].len() < QUEUE {
                queues[best.1].push(time);
            } else {
                unserved += 1;
            }
        }
    }
    (in_time, late, unserved)
}

#[test]
fn a_burst_beyond_the_endpoints_leaves_most_served_calls_in_time() {
    let (in_time, late, unserved) = play(true);
    let (before, late_before, unserved_before) = play(false);
    println!("with forecast: {in_time} in time, {late} late, {unserved} not served");
    println!("without: {before} in time, {late_before} late, {unserved_before} not served");
    assert!(in_time > late * 4, "{in_time} in time, {late} late");
    assert!(
        in_time > before * 3 / 2,
        "{in_time} in time, {before} without a forecast"
    );
    // What is refused is what the endpoints could not have run either.
    assert!(
        unserved * 10 < unserved_before * 13,
        "{unserved}, {unserved_before} before"
    );
}
