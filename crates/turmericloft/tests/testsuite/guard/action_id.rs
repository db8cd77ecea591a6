//! Action ids: signing, verification and the location of the executor.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    Name,
    guard::{ActionId, ActionIdError, ActionKeys, Executor},
};

use super::host;

fn names() -> (Name, Name, Name) {
    let name = |text| Name::new(text).unwrap();
    (name("web"), name("booking"), name("deposit"))
}

fn id() -> ActionId {
    ActionId::issue(host("gw-1", 7), 9_000, &mut Pcg64Mcg::seed_from_u64(1))
}

#[test]
fn id_is_valid_only_for_its_caller_and_service() {
    let (web, booking, deposit) = names();
    let keys = ActionKeys::shared("s", None);
    let text = id().to_text(&keys, &web, &booking);
    assert_eq!(ActionId::verify(&text, &keys, &web, &booking), Ok(id()));
    let invalid_tag = Err(ActionIdError::InvalidTag);
    assert_eq!(ActionId::verify(&text, &keys, &web, &deposit), invalid_tag);
    assert_eq!(
        ActionId::verify(&text, &keys, &booking, &booking),
        invalid_tag
    );
    let other = ActionKeys::shared("t", None);
    assert_eq!(ActionId::verify(&text, &other, &web, &booking), invalid_tag);
}

#[test]
fn previous_secret_is_accepted_during_rotation() {
    let (web, booking, _) = names();
    let text = id().to_text(&ActionKeys::shared("old", None), &web, &booking);
    let rotated = ActionKeys::shared("new", Some("old"));
    assert!(ActionId::verify(&text, &rotated, &web, &booking).is_ok());
    let finished = ActionKeys::shared("new", None);
    assert!(ActionId::verify(&text, &finished, &web, &booking).is_err());
}

#[test]
fn executor_depends_on_the_newest_known_incarnation() {
    let (own, older, newer) = (host("gw-1", 7), host("gw-1", 6), host("gw-1", 8));
    let other = host("gw-2", 3);
    assert_eq!(Executor::locate(&own, &own, None), Executor::Local);
    assert_eq!(Executor::locate(&older, &own, None), Executor::Ended);
    assert_eq!(Executor::locate(&newer, &own, None), Executor::Peer(&newer));
    assert_eq!(Executor::locate(&other, &own, None), Executor::Peer(&other));
    let replaced = host("gw-2", 4);
    assert_eq!(
        Executor::locate(&other, &own, Some(&replaced)),
        Executor::Ended
    );
    let lagging = host("gw-2", 2);
    assert_eq!(
        Executor::locate(&other, &own, Some(&lagging)),
        Executor::Peer(&other)
    );
}

proptest! {
    #[test]
    fn modified_id_text_is_rejected(at in 0_usize..60, with in "[A-Za-z0-9_-]") {
        let (web, booking, _) = names();
        let keys = ActionKeys::shared("s", None);
        let text = id().to_text(&keys, &web, &booking);
        let mut changed = text.clone();
        let at = at % text.len();
        changed.replace_range(at..=at, &with);
        let is_valid = ActionId::verify(&changed, &keys, &web, &booking).is_ok();
        prop_assert_eq!(is_valid, changed == text);
    }

    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in ".{0,300}") {
        let _ = ActionId::parse(&text);
    }
}
