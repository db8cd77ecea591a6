//! The action table.

use std::sync::Arc;

use turmericloft::core::{
    Name, Outcome,
    guard::{ActionKey, ActionTable, Fingerprint, Submission, Submitted, TableLimits},
};

use super::{Responses, response};

const LIMITS: TableLimits = TableLimits {
    actions: 64,
    bytes: 1 << 20,
    response_bytes: 1 << 10,
};
const EXPIRES_MS: u64 = 1_000;
const REMOVE_AFTER_MS: u64 = EXPIRES_MS + ActionTable::<Responses>::GRACE_MS;

fn submission(key: &str, body: &str, waiter: &Responses) -> Submission<Responses> {
    let name = |text| Name::new(text).unwrap();
    Submission {
        key: ActionKey::Caller {
            caller: name("web"),
            service: name("booking"),
            key: key.into(),
        },
        fingerprint: Fingerprint::of("booking", "POST", "/book", body.as_bytes()),
        expires_ms: EXPIRES_MS,
        waiter: waiter.clone(),
    }
}

fn accept(table: &Arc<ActionTable<Responses>>, key: &str, waiter: &Responses) -> Permit {
    match table.submit(0, submission(key, "b", waiter)) {
        Submitted::Accepted(permit) => permit,
        other => panic!("not accepted: {other:?}"),
    }
}

type Permit = turmericloft::core::guard::Permit<turmericloft::core::guard::Received, Responses>;

#[test]
fn copies_join_a_pending_action_and_later_copies_get_the_stored_response() {
    let table = ActionTable::new(LIMITS);
    let [first, second, third] = [(); 3].map(|()| Responses::default());
    let permit = accept(&table, "k", &first);
    assert!(matches!(
        table.submit(1, submission("k", "b", &second)),
        Submitted::Joined
    ));
    permit
        .into_dispatched()
        .complete(response(Outcome::Served, "done"));
    assert!(matches!(
        table.submit(2, submission("k", "b", &third)),
        Submitted::Completed
    ));
    for got in [first, second, third] {
        let all = got.all();
        assert_eq!(all.len(), 1);
        assert_eq!(&all[0].body[..], b"done");
    }
}

#[test]
fn same_key_with_another_body_conflicts_and_leaves_the_action_unchanged() {
    let table = ActionTable::new(LIMITS);
    let [first, other] = [(); 2].map(|()| Responses::default());
    let permit = accept(&table, "k", &first);
    assert!(matches!(
        table.submit(1, submission("k", "c", &other)),
        Submitted::Conflict(_)
    ));
    permit
        .into_dispatched()
        .complete(response(Outcome::Served, "done"));
    assert!(matches!(
        table.submit(2, submission("k", "c", &other)),
        Submitted::Conflict(_)
    ));
    assert_eq!(first.outcomes(), [Outcome::Served]);
    assert!(other.all().is_empty());
}

#[test]
fn dropped_permit_completes_the_action_according_to_its_stage() {
    let table = ActionTable::new(LIMITS);
    let [received, claimed, dispatched] = [(); 3].map(|()| Responses::default());
    drop(accept(&table, "a", &received));
    drop(accept(&table, "b", &claimed).into_claimed());
    drop(
        accept(&table, "c", &dispatched)
            .into_claimed()
            .into_dispatched(),
    );
    assert_eq!(received.outcomes(), [Outcome::NotRun]);
    assert_eq!(claimed.outcomes(), [Outcome::NotRun]);
    assert_eq!(dispatched.outcomes(), [Outcome::Unknown]);
    assert!(matches!(
        table.submit(1, submission("a", "b", &received)),
        Submitted::Completed
    ));
}

#[test]
fn full_table_rejects_new_actions_and_keeps_those_that_may_be_retried() {
    let table = ActionTable::new(TableLimits {
        actions: 1,
        ..LIMITS
    });
    let waiter = Responses::default();
    let mut accepted = Vec::new();
    for i in 0..200 {
        let key = i.to_string();
        if let Submitted::Accepted(permit) = table.submit(0, submission(&key, "b", &waiter)) {
            permit
                .into_dispatched()
                .complete(response(Outcome::Served, "done"));
            accepted.push(key);
        }
    }
    assert!(accepted.len() < 200);
    for key in &accepted {
        let again = table.submit(REMOVE_AFTER_MS - 1, submission(key, "b", &waiter));
        assert!(matches!(again, Submitted::Completed));
    }
}

#[test]
fn memory_limit_includes_memory_reserved_for_responses() {
    let limits = TableLimits {
        bytes: 4 << 10,
        ..LIMITS
    };
    let table = ActionTable::new(limits);
    let waiter = Responses::default();
    let mut permits = Vec::new();
    let full = (0..64).any(
        |i| match table.submit(0, submission(&i.to_string(), "b", &waiter)) {
            Submitted::Accepted(permit) => {
                permits.push(permit);
                false
            }
            Submitted::Full(_) => true,
            other => panic!("neither accepted nor full: {other:?}"),
        },
    );
    assert!(full);
    assert!(table.memory_bytes() <= limits.bytes);
    drop(permits);
    table.remove_expired(REMOVE_AFTER_MS);
    assert_eq!((table.len(), table.memory_bytes()), (0, 0));
}

#[test]
fn expired_action_and_removed_action_get_different_results() {
    let table = ActionTable::new(LIMITS);
    let waiter = Responses::default();
    let at = |now_ms| table.submit(now_ms, submission("k", "b", &waiter));
    assert!(matches!(at(EXPIRES_MS), Submitted::Expired(_)));
    assert!(matches!(at(REMOVE_AFTER_MS - 1), Submitted::Expired(_)));
    assert!(matches!(at(REMOVE_AFTER_MS), Submitted::Removed(_)));
}

#[test]
fn pending_action_is_kept_past_its_expiry() {
    let table = ActionTable::new(LIMITS);
    let waiter = Responses::default();
    let permit = accept(&table, "k", &waiter).into_dispatched();
    assert!(matches!(
        table.submit(REMOVE_AFTER_MS * 2, submission("k", "b", &waiter)),
        Submitted::Joined
    ));
    permit.complete(response(Outcome::Served, "done"));
    assert_eq!(waiter.outcomes(), [Outcome::Served; 2]);
}
