//! Ids, outcomes and the manual clock.

use vg_base::prelude::*;
use vg_base::{IdError, ManualClock};

/// Guards against names that would need escaping in a URL path, a store key or an
/// INI section header, and against a wrong length limit.
#[test]
fn names_accept_the_documented_characters_only() {
    for valid in ["a", "0", "bakery-urgent", "zone.1_b", &"x".repeat(63)] {
        assert_eq!(valid.parse::<TeamId>().unwrap().to_string(), *valid);
    }
    for invalid in ["-a", ".a", "A", "a b", "a/b", "é"] {
        assert!(matches!(invalid.parse::<TeamId>(), Err(IdError::Character { .. })), "{invalid}");
    }
    assert_eq!("".parse::<TeamId>(), Err(IdError::Length { length: 0 }));
    assert_eq!("x".repeat(64).parse::<TeamId>(), Err(IdError::Length { length: 64 }));
}

/// Guards against ids that change when they are written as text and parsed again,
/// and against texts that `u128::from_str_radix` accepts although they are no
/// plain digits, such as `+1`.
#[test]
fn hex_ids_round_trip() {
    let id = JobId::new(0x1f);
    assert_eq!(id.to_string().parse::<JobId>().unwrap(), id);
    for invalid in ["", "xyz", "+1", &"0".repeat(33)] {
        assert!(invalid.parse::<JobId>().is_err(), "{invalid}");
    }
}

/// Guards against an outcome whose text is not parsed back to the same outcome.
#[test]
fn outcomes_round_trip() {
    for outcome in [Outcome::Answered, Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(outcome.to_string().parse::<Outcome>().unwrap(), outcome);
    }
    assert!("maybe".parse::<Outcome>().is_err());
}

/// Guards against a manual clock whose monotonic time and wall time differ from
/// the advances.
#[test]
fn manual_clock_changes_only_when_advanced() {
    let clock = ManualClock::default();
    let before = clock.now();
    clock.advance(Duration::from_secs(3));
    assert_eq!(clock.now() - before, Duration::from_secs(3));
    assert_eq!(clock.wall(), SystemTime::UNIX_EPOCH + Duration::from_secs(3));
}
