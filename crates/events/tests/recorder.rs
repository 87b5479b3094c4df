//! Order, bounds and catalogue of events.

use vg_base::ManualClock;
use vg_base::prelude::*;
use vg_events::{Code, Field, Recorder, Stamp};

#[test]
fn numbers_are_unique_and_grow() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    assert!(Code::ALL.iter().all(|code| !code.meaning().is_empty()));
}

#[test]
fn a_window_says_what_was_dropped() {
    let recorder = Recorder::new(ManualClock::default(), "a/1", 2);
    for n in 0..5 {
        recorder.record(Code::CallReceived, [Field::new("n", n)]);
    }
    let window = recorder.window(0, 10);
    assert_eq!(window.dropped, 3);
    assert_eq!(window.events.iter().map(|e| e.serial).collect::<Vec<_>>(), [3, 4]);
    assert_eq!(recorder.window(4, 10).dropped, 0);
}

#[test]
fn an_effect_follows_its_cause_though_the_clock_is_behind() {
    let behind = Recorder::new(ManualClock::default(), "b/1", 8);
    let cause = Stamp { micros: 5_000_000, count: 7 };
    behind.clock().observe(cause);
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(1));
    assert!(behind.record(Code::CallAnswered, []) > cause);
}
