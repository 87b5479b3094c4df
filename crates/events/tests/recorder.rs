//! Numbers of events, and the order and the capacity of the recorder.

use vg_base::ManualClock;
use vg_base::prelude::*;
use vg_events::{Code, Field, Recorder, Stamp};

/// Guards against an event number that is used twice or that stands out of order
/// in the catalogue, and against an event without a meaning.
#[test]
fn event_numbers_are_unique_and_increase() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    assert!(Code::ALL.iter().all(|code| !code.meaning().is_empty()));
}

/// Guards against a reader that does not notice missing events after the recorder
/// has exceeded its capacity.
#[test]
fn window_counts_dropped_events() {
    let recorder = Recorder::new(ManualClock::default(), "a/1", 2);
    for n in 0..5 {
        recorder.record(Code::CallReceived, [Field::new("n", n)]);
    }
    let window = recorder.window(0, 10);
    assert_eq!(window.dropped, 3);
    assert_eq!(window.events.iter().map(|e| e.serial).collect::<Vec<_>>(), [3, 4]);
    assert_eq!(recorder.window(4, 10).dropped, 0);
}

/// Guards against an effect that is ordered before its cause. This happens when
/// the process that records the effect has a wall clock that is behind the wall
/// clock of the process that recorded the cause.
#[test]
fn effect_is_later_than_its_cause_when_the_clock_is_behind() {
    let behind = Recorder::new(ManualClock::default(), "b/1", 8);
    let cause = Stamp { micros: 5_000_000, count: 7 };
    behind.clock().observe(cause);
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(1));
    assert!(behind.record(Code::CallAnswered, []) > cause);
}
