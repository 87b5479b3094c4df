//! Names, hexadecimal ids and outcomes survive text and refuse what is malformed.

use vg_base::prelude::*;
use vg_base::{IdError, ManualClock};

#[test]
fn names_accept_the_documented_characters_only() {
    for good in ["a", "0", "bakery-urgent", "zone.1_b", &"x".repeat(63)] {
        assert_eq!(good.parse::<TeamId>().unwrap().to_string(), *good);
    }
    for bad in ["-a", ".a", "A", "a b", "a/b", "é"] {
        assert!(matches!(bad.parse::<TeamId>(), Err(IdError::Character { .. })), "{bad}");
    }
    assert_eq!("".parse::<TeamId>(), Err(IdError::Length { length: 0 }));
    assert_eq!("x".repeat(64).parse::<TeamId>(), Err(IdError::Length { length: 64 }));
}

#[test]
fn hex_ids_round_trip() {
    let id = JobId::new(0x1f);
    assert_eq!(id.to_string().parse::<JobId>().unwrap(), id);
    for bad in ["", "xyz", "+1", &"0".repeat(33)] {
        assert!(bad.parse::<JobId>().is_err(), "{bad}");
    }
}

#[test]
fn outcomes_round_trip() {
    for outcome in [Outcome::Answered, Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(outcome.to_string().parse::<Outcome>().unwrap(), outcome);
    }
    assert!("maybe".parse::<Outcome>().is_err());
}

#[test]
fn a_manual_clock_moves_only_when_told() {
    let clock = ManualClock::default();
    let before = clock.now();
    clock.advance(Duration::from_secs(3));
    assert_eq!(clock.now() - before, Duration::from_secs(3));
    assert_eq!(clock.wall(), SystemTime::UNIX_EPOCH + Duration::from_secs(3));
}
