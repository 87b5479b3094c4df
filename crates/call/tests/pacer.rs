//! Retries of many callers of one callee.

use vg_base::prelude::*;
use vg_call::RetryPacer;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns how many retries of `callers` are made in each second, of ten, while all calls
/// fail.
fn retries_of(callers: u64) -> Vec<usize> {
    let start = Instant::now();
    let mut pacer = RetryPacer::new(ms(50));
    let end = start + ms(10_000);
    let mut waiting: Vec<Instant> = (0..callers).map(|at| start + ms(at % 50)).collect();
    let mut retries = vec![0; 10];
    while let Some(at) = waiting.iter().position(|&at| at < end) {
        let now = waiting[at];
        match pacer.next_retry(ms(50), end, now) {
            Some(retry) => {
                retries[(retry - start).as_secs() as usize] += 1;
                waiting[at] = retry;
            }
            None => _ = waiting.swap_remove(at),
        }
    }
    retries
}

/// Guards against retries whose number grows with the callers that wait, until they are all
/// the load that a callee has.
#[test]
fn retries_do_not_grow_with_the_number_of_callers() {
    for callers in [1, 10, 200, 1000] {
        let retries = retries_of(callers);
        assert!(retries[1..].iter().all(|&each| each <= 21), "{callers}: {retries:?}");
    }
}

/// Guards against callers that are held up although most calls succeed.
#[test]
fn a_retry_is_not_delayed_while_most_calls_succeed() {
    let mut now = Instant::now();
    let mut pacer = RetryPacer::new(ms(50));
    for _ in 0..1000 {
        (0..10).for_each(|_| pacer.record_success(now));
        assert_eq!(pacer.next_retry(ms(60), now + ms(500), now), Some(now + ms(60)));
        now += ms(5);
    }
    assert_eq!(pacer.next_retry(ms(60), now + ms(60), now), None);
}
