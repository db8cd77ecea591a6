//! The action table.

use std::sync::Arc;

use turmericloft::core::{
    Name, Outcome,
    guard::{ActionKey, ActionTable, Fingerprint, Submission, SubmitResult, TableLimits},
};

use super::{Answers, answer};

const LIMITS: TableLimits = TableLimits {
    actions: 64,
    bytes: 1 << 20,
    response_bytes: 1 << 10,
};
const EXPIRES_MS: u64 = 1_000;
const REMOVE_AFTER_MS: u64 = EXPIRES_MS + ActionTable::<Answers>::GRACE_MS;

fn submission(key: &str, body: &str, waiter: &Answers) -> Submission<Answers> {
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

fn accept(table: &Arc<ActionTable<Answers>>, key: &str, waiter: &Answers) -> Permit {
    match table.submit(0, submission(key, "b", waiter)) {
        SubmitResult::Accepted(permit) => permit,
        other => panic!("not accepted: {other:?}"),
    }
}

type Permit = turmericloft::core::guard::Permit<turmericloft::core::guard::Received, Answers>;

#[test]
fn copies_join_the_first_and_later_ones_get_the_kept_answer() {
    let table = ActionTable::new(LIMITS);
    let [first, second, third] = [(); 3].map(|()| Answers::default());
    let permit = accept(&table, "k", &first);
    assert!(matches!(
        table.submit(1, submission("k", "b", &second)),
        SubmitResult::Joined
    ));
    permit
        .into_dispatched()
        .complete(answer(Outcome::Served, "done"));
    assert!(matches!(
        table.submit(2, submission("k", "b", &third)),
        SubmitResult::Completed
    ));
    for got in [first, second, third] {
        let all = got.all();
        assert_eq!(all.len(), 1);
        assert_eq!(&all[0].body[..], b"done");
    }
}

#[test]
fn same_key_with_another_body_is_a_conflict_and_leaves_the_action_alone() {
    let table = ActionTable::new(LIMITS);
    let [first, other] = [(); 2].map(|()| Answers::default());
    let permit = accept(&table, "k", &first);
    assert!(matches!(
        table.submit(1, submission("k", "c", &other)),
        SubmitResult::Conflict(_)
    ));
    permit
        .into_dispatched()
        .complete(answer(Outcome::Served, "done"));
    assert!(matches!(
        table.submit(2, submission("k", "c", &other)),
        SubmitResult::Conflict(_)
    ));
    assert_eq!(first.outcomes(), [Outcome::Served]);
    assert!(other.all().is_empty());
}

#[test]
fn dropped_permit_ends_the_action_by_its_stage() {
    let table = ActionTable::new(LIMITS);
    let [received, claimed, dispatched] = [(); 3].map(|()| Answers::default());
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
        SubmitResult::Completed
    ));
}

#[test]
fn full_table_refuses_new_actions_and_forgets_none_that_can_be_resent() {
    let table = ActionTable::new(TableLimits {
        actions: 1,
        ..LIMITS
    });
    let waiter = Answers::default();
    let mut accepted = Vec::new();
    for i in 0..200 {
        let key = i.to_string();
        if let SubmitResult::Accepted(permit) = table.submit(0, submission(&key, "b", &waiter)) {
            permit
                .into_dispatched()
                .complete(answer(Outcome::Served, "done"));
            accepted.push(key);
        }
    }
    assert!(accepted.len() < 200);
    for key in &accepted {
        let again = table.submit(REMOVE_AFTER_MS - 1, submission(key, "b", &waiter));
        assert!(matches!(again, SubmitResult::Completed));
    }
}

#[test]
fn memory_bound_counts_what_answers_may_take() {
    let limits = TableLimits {
        bytes: 4 << 10,
        ..LIMITS
    };
    let table = ActionTable::new(limits);
    let waiter = Answers::default();
    let mut permits = Vec::new();
    let full = (0..64).any(
        |i| match table.submit(0, submission(&i.to_string(), "b", &waiter)) {
            SubmitResult::Accepted(permit) => {
                permits.push(permit);
                false
            }
            SubmitResult::Full(_) => true,
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
fn late_copy_of_an_action_never_begun_is_told_apart_from_a_forgotten_one() {
    let table = ActionTable::new(LIMITS);
    let waiter = Answers::default();
    let at = |now_ms| table.submit(now_ms, submission("k", "b", &waiter));
    assert!(matches!(at(EXPIRES_MS), SubmitResult::Expired(_)));
    assert!(matches!(at(REMOVE_AFTER_MS - 1), SubmitResult::Expired(_)));
    assert!(matches!(
        at(REMOVE_AFTER_MS),
        SubmitResult::PastRetention(_)
    ));
}

#[test]
fn action_under_way_is_kept_past_its_time() {
    let table = ActionTable::new(LIMITS);
    let waiter = Answers::default();
    let permit = accept(&table, "k", &waiter).into_dispatched();
    assert!(matches!(
        table.submit(REMOVE_AFTER_MS * 2, submission("k", "b", &waiter)),
        SubmitResult::Joined
    ));
    permit.complete(answer(Outcome::Served, "done"));
    assert_eq!(waiter.outcomes(), [Outcome::Served; 2]);
}
