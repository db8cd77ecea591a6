//! Parsers accept or reject arbitrary input without a panic.

use proptest::prelude::*;
use turmericloft::{
    core::{
        config::{AcceptedRecord, Verdict},
        counting::{RoundPart, SnapshotMessage},
        document::Document,
        guard::ClaimBatch,
    },
    sources::{
        host_list::HostList,
        log_service::RecordPage,
        peer::{Envelope, PeerDatagram, PeerReply, PeerRequest},
    },
    util::settings::GatewaySettings,
};

proptest! {
    #[test]
    fn peer_messages_of_arbitrary_bytes_are_parsed_or_rejected(bytes: Vec<u8>) {
        let _ = postcard::from_bytes::<Envelope<PeerRequest>>(&bytes);
        let _ = postcard::from_bytes::<Envelope<PeerDatagram>>(&bytes);
        let _ = postcard::from_bytes::<PeerReply>(&bytes);
        let _ = postcard::from_bytes::<SnapshotMessage>(&bytes);
    }

    #[test]
    fn log_records_of_arbitrary_bytes_are_parsed_or_rejected(bytes: Vec<u8>, format in 0_u8..4) {
        let _ = ClaimBatch::from_record(&bytes);
        let _ = RoundPart::decode(&bytes);
        let with_format: Vec<u8> = [&[format], bytes.as_slice()].concat();
        let _ = RoundPart::decode(&with_format);
    }

    #[test]
    fn config_records_of_arbitrary_bytes_are_malformed(bytes: Vec<u8>) {
        prop_assert!(matches!(AcceptedRecord::evaluate(None, 0, &bytes), Verdict::Malformed(_)));
    }

    #[test]
    fn documents_and_settings_of_arbitrary_text_are_parsed_or_rejected(text in "\\PC*") {
        let _ = Document::parse(&text);
        let _ = toml::from_str::<GatewaySettings>(&text);
    }

    #[test]
    fn platform_responses_of_arbitrary_text_are_parsed_or_rejected(text in "[\\[\\]{}:,\"a-z0-9]*") {
        let _ = serde_json::from_str::<RecordPage>(&text);
        let _ = serde_json::from_str::<HostList>(&text);
    }
}

#[test]
fn oversized_document_is_rejected_before_it_is_parsed() {
    let text = "#".repeat(Document::MAX_BYTES + 1);
    let e = Document::parse(&text).unwrap_err();
    snapbox::assert_data_eq!(
        e.to_string(),
        snapbox::str!["the document has 4194305 bytes; at most 4194304 are allowed"]
    );
}
