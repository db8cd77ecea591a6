//! Decisions on single requests.

use std::time::{Duration, Instant};

use turmericloft::core::key_lease::{
    AccessRejection, KeyAuthority, KeyRules, NewestDocument, PresentedKey,
};

use super::{CONFIG_DEADLINE, REVOCATION, key, leased, organisation, table};

const SECOND: Duration = Duration::from_secs(1);

/// An authority with version 1, which is confirmed as of `now`.
fn authority(rules: KeyRules, now: Instant) -> KeyAuthority {
    let mut authority = KeyAuthority::new(rules);
    let organisations = vec![
        organisation("north", 3, &["n1", "n2"]),
        organisation("south", 1, &["s1", "n2"]),
        organisation("none", 2, &[]),
    ];
    authority.activate(now, table(1, organisations));
    authority.record_newest(newest(1, now));
    authority
}

fn newest(version: u64, as_of: Instant) -> NewestDocument {
    NewestDocument {
        version,
        as_of: Some(as_of),
    }
}

/// Name of the organisation, its rank and whether the credentials are removed.
fn decide(
    authority: &KeyAuthority,
    now: Instant,
    is_public: bool,
    key: PresentedKey,
) -> Result<(Option<String>, u32, bool), AccessRejection> {
    let access = authority.decide(now, is_public, &key)?;
    let name = access.organisation.map(|o| o.name.to_string());
    Ok((name, access.rank, access.removes_credentials))
}

#[test]
fn organisation_is_found_by_any_of_its_keys() {
    let now = Instant::now();
    let authority = authority(leased(), now);
    for (text, name, rank) in [("n1", "north", 3), ("n2", "north", 3), ("s1", "south", 1)] {
        for is_public in [false, true] {
            let decided = decide(&authority, now, is_public, key(text));
            assert_eq!(decided, Ok((Some(name.to_owned()), rank, true)), "{text}");
        }
    }
    for (presented, reason) in [
        (key("x"), AccessRejection::UnknownKey),
        (key(""), AccessRejection::UnknownKey),
        (PresentedKey::Missing, AccessRejection::MissingKey),
        (PresentedKey::Malformed, AccessRejection::MalformedKey),
    ] {
        assert_eq!(decide(&authority, now, false, presented), Err(reason));
        // Without an organisation, a request of a public route waits like one of the most urgent organisation.
        let public = decide(&authority, now, true, presented);
        assert_eq!(public, Ok((None, 1, true)));
    }
}

#[test]
fn without_organisations_every_request_passes_as_it_is() {
    let now = Instant::now();
    let mut authority = KeyAuthority::new(leased());
    let missing = PresentedKey::Missing;
    let none = Err(AccessRejection::NoDocument);
    assert_eq!(decide(&authority, now, false, missing), none);
    assert_eq!(decide(&authority, now, true, missing), none);
    authority.activate(now, table(1, Vec::new()));
    for presented in [missing, PresentedKey::Malformed, key("x")] {
        let decided = decide(&authority, now + REVOCATION, false, presented);
        assert_eq!(decided, Ok((None, 0, false)));
    }
}

#[test]
fn lapsed_lease_stops_requests_with_keys_only_where_keys_are_leased() {
    let now = Instant::now();
    let unleased = KeyRules {
        lease: None,
        ..leased()
    };
    let later = now + 100 * REVOCATION;
    let (closed, open) = (authority(leased(), now), authority(unleased, now));
    let lapsed = Err(AccessRejection::LeaseLapsed);
    assert_eq!(decide(&closed, later, false, key("n1")), lapsed);
    assert_eq!(decide(&closed, later, false, key("x")), lapsed);
    assert_eq!(decide(&closed, later, true, key("n1")), Ok((None, 1, true)));
    let north = Ok((Some("north".to_owned()), 3, true));
    assert_eq!(decide(&open, later, false, key("n1")), north);
    // Nobody knows whether a newer document contains the key.
    let unconfirmed = Err(AccessRejection::UnconfirmedKey);
    assert_eq!(decide(&open, later, false, key("x")), unconfirmed);
}

#[test]
fn key_is_unknown_only_if_no_document_that_may_be_active_contains_it() {
    let now = Instant::now();
    let mut authority = authority(leased(), now);
    let (unknown, unconfirmed) = (
        Err(AccessRejection::UnknownKey),
        Err(AccessRejection::UnconfirmedKey),
    );
    assert_eq!(decide(&authority, now, false, key("x")), unknown);
    authority.record_newest(newest(2, now + SECOND));
    assert_eq!(decide(&authority, now, false, key("x")), unconfirmed);
    let replaced_at = now + SECOND;
    authority.activate(
        replaced_at,
        table(2, vec![organisation("north", 3, &["x"])]),
    );
    assert!(decide(&authority, replaced_at, false, key("x")).is_ok());
    assert_eq!(decide(&authority, replaced_at, false, key("y")), unknown);
    assert_eq!(
        decide(&authority, replaced_at, false, key("n1")),
        unconfirmed
    );
    let everywhere = replaced_at + CONFIG_DEADLINE;
    authority.record_newest(newest(2, everywhere));
    assert_eq!(decide(&authority, everywhere, false, key("n1")), unknown);
    // Without a confirmation in time, a newer document may be active elsewhere.
    let stale = everywhere + CONFIG_DEADLINE + Duration::from_millis(1);
    assert_eq!(decide(&authority, stale, false, key("n1")), unconfirmed);
}
