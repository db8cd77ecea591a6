//! What connections and messages take from the account.

use proptest::prelude::*;
use turmericloft::core::memory::{
    CONNECTION_BYTES, MemoryAccount, MemoryClass, MemoryLimits, SMALL_BYTES,
};

/// Memory for connections and messages of the smallest host in force, in bytes.
const SMALLEST_HOST: usize = 88 << 20;
/// Largest legal body of the configurations in force, in bytes.
const LARGEST_BODY: usize = 67_108_864;

const CLASSES: [MemoryClass; 3] = [
    MemoryClass::Connections,
    MemoryClass::Responses,
    MemoryClass::Requests,
];

#[test]
fn largest_legal_body_fits_beside_many_connections() {
    let account = MemoryAccount::new(MemoryLimits::new(SMALLEST_HOST));
    let mut connections: Vec<_> = (0..200)
        .map(|_| account.charge(MemoryClass::Connections))
        .collect();
    assert!(
        connections
            .iter_mut()
            .all(|c| c.try_grow_to(CONNECTION_BYTES))
    );
    let mut body = account.charge(MemoryClass::Requests);
    assert!(body.try_grow_to(LARGEST_BODY));
}

/// Load pattern: bodies of requests have taken all that they may take.
#[test]
fn large_bodies_leave_room_for_small_messages_and_new_connections() {
    let account = MemoryAccount::new(MemoryLimits::new(SMALLEST_HOST));
    let mut bodies = Vec::new();
    for class in [MemoryClass::Requests, MemoryClass::Responses] {
        for size in [4 << 20, SMALL_BYTES + 1] {
            loop {
                let mut body = account.charge(class);
                if !body.try_grow_to(size) {
                    break;
                }
                bodies.push(body);
            }
        }
    }
    let mut small = account.charge(MemoryClass::Requests);
    assert!(small.try_grow_to(300));
    let mut connection = account.charge(MemoryClass::Connections);
    assert!(connection.try_grow_to(CONNECTION_BYTES));
}

proptest! {
    /// Whatever is taken and put back in whatever order, the sum stays within the account and ends at zero.
    #[test]
    fn sum_stays_within_the_account(
        total in 1_usize..4 << 20,
        steps in proptest::collection::vec((0_usize..3, 0_usize..1 << 20, any::<bool>()), 1..100),
    ) {
        let account = MemoryAccount::new(MemoryLimits::new(total));
        let mut charges = Vec::new();
        for (class, bytes, is_put_back) in steps {
            let mut charge = account.charge(CLASSES[class]);
            let before = account.used();
            if charge.try_grow_to(bytes) {
                prop_assert_eq!(charge.bytes(), bytes);
                prop_assert!(charge.can_ever_grow_to(bytes));
                charges.push(charge);
            } else {
                prop_assert_eq!(account.used(), before);
            }
            if is_put_back && !charges.is_empty() {
                let mut charge = charges.swap_remove(bytes % charges.len());
                charge.shrink_to(bytes / 2);
                prop_assert!(charge.bytes() <= bytes / 2 || charge.bytes() <= total);
            }
            let taken: usize = charges.iter().map(|c| c.bytes()).sum();
            prop_assert_eq!(account.used().total(), taken);
            prop_assert!(taken <= total);
        }
        drop(charges);
        prop_assert_eq!(account.used().total(), 0);
    }
}
