//! Windows of the period of a report.

use proptest::prelude::*;
use turmericloft::core::counting::report::Period;

proptest! {
    #[test]
    fn windows_cover_the_period_within_the_limit(
        from_ms in 0_u64..10_000,
        length in 1_u64..100_000,
        step_ms in 1_u64..1_000,
        limit in 1_u64..50,
    ) {
        let to_ms = from_ms + length;
        let windows = Period { from_ms, to_ms }.windows(step_ms, limit);
        prop_assert!(windows.len() as u64 <= limit);
        prop_assert_eq!(windows.first().map(|w| w.from_ms), Some(from_ms));
        prop_assert_eq!(windows.last().map(|w| w.to_ms), Some(to_ms));
        for pair in windows.windows(2) {
            prop_assert_eq!(pair[0].to_ms, pair[1].from_ms);
        }
    }
}
