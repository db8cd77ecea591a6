//! Crash reports on relay connections.

use std::{sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::yield_now,
    time::Instant,
};
use turmericloft::core::{
    guard::Fingerprint,
    placement::EndpointState,
    quarantine::{Crash, CrashId, CrashReport, ReportedCrash, SendDecision},
    relay::{RelayPoll, UpstreamMessage},
};

use super::{
    at,
    connections::{apply_record, follower, upstream},
};

/// Two followers and their upstream each see one crash; a sound request is not affected.
#[tokio::test]
async fn crashes_that_gateways_saw_apart_put_a_request_in_quarantine_on_all_of_them() {
    let upstream = upstream().await;
    let hubs = [
        Arc::clone(&upstream.hub),
        follower(upstream.address),
        follower(upstream.address),
    ];
    // A gateway whose data is not current keeps a poll until it is.
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    let mut offset = 0;
    let request = Fingerprint::of("h", "POST", "/act/1", b"");
    for (i, hub) in hubs.iter().enumerate() {
        let at = std::time::Instant::now();
        let crash = Crash {
            endpoint: format!("e{i}").into(),
            sent_at: at,
            at,
        };
        hub.quarantine().record_crash(at, request, crash);
        let is_known = || {
            let mut revisions = hubs.iter().map(|h| *h.quarantine().revision().borrow());
            revisions.all(|revision| revision > i as u64)
        };
        // Followers are told with the next changes of the registry.
        while !is_known() {
            offset += 1;
            apply_record(&upstream.hub, offset, "e1", EndpointState::Ready);
            yield_now().await;
        }
    }
    for hub in &hubs {
        let decision = hub.quarantine().decide(std::time::Instant::now(), &request);
        assert!(matches!(decision, SendDecision::Refused { .. }));
    }
}

/// Copies come to all gateways at once: the second crash and those after it are reported without a wait for
/// the next read of the registry, down a tree of gateways too.
#[tokio::test(start_paused = true)]
async fn crashes_of_a_suspected_request_reach_followers_before_the_next_read() {
    let upstream = upstream().await;
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    let hubs = [follower(upstream.address), follower(upstream.address)];
    for hub in &hubs {
        hub.wait_until_current().await;
    }
    let request = Fingerprint::of("h", "POST", "/act/1", b"");
    let crashed_at = Instant::now();
    for i in 0..3 {
        let at = hubs[0].clock().now();
        let crash = Crash {
            endpoint: format!("e{i}").into(),
            sent_at: at,
            at,
        };
        hubs[0].quarantine().record_crash(at, request, crash);
    }
    let refused = async {
        let mut revision = hubs[1].quarantine().revision();
        loop {
            let now = hubs[1].clock().now();
            let decision = hubs[1].quarantine().decide(now, &request);
            if matches!(decision, SendDecision::Refused { .. }) {
                return;
            }
            revision.changed().await.expect("the hub is alive");
        }
    };
    refused.await;
    // Time passes only when all tasks wait, for instance for the idle response to a poll.
    let idle = hubs[0].timings().idle_response_after();
    assert!(crashed_at.elapsed() < idle, "{:?}", crashed_at.elapsed());
}

/// Encodes a poll as a frame, with a crash report behind it.
fn poll_frame(reports: &[CrashReport]) -> Vec<u8> {
    const MESSAGE_VERSION: u16 = 9;
    let poll = RelayPoll {
        host: "h1".into(),
        from: at(0, 0),
        document_version: 0,
        active_version: 0,
        evacuation: at(0, 0),
        awaits_current: false,
    };
    let message = postcard::to_stdvec(&(MESSAGE_VERSION, poll)).expect("a poll");
    let message = postcard::to_extend(reports, message).expect("reports");
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// Many endpoints crash while the store is slow: crash reports arrive during each read of the
/// registry, and must not make the data that follows look old.
#[tokio::test]
async fn crash_reports_leave_the_poll_before_them_open() {
    let upstream = upstream().await;
    let report = CrashReport {
        request: Fingerprint::of("h", "POST", "/act/1", b""),
        crashes: vec![ReportedCrash {
            id: CrashId(1),
            endpoint: "e1".into(),
            age: Duration::ZERO,
            ran_for: Duration::ZERO,
        }],
        cleared: Vec::new(),
        response_age: None,
    };
    let mut stream = TcpStream::connect(upstream.address).await.expect("open");
    let polls = [poll_frame(&[]), poll_frame(&[report])].concat();
    stream.write_all(&polls).await.expect("sent");
    let mut revision = upstream.hub.quarantine().revision();
    let merged = revision.wait_for(|revision| *revision > 0);
    merged.await.expect("the hub is alive");
    apply_record(&upstream.hub, 0, "e1", EndpointState::Ready);
    let length = stream.read_u32().await.expect("a length");
    let mut message = vec![0; length as usize];
    stream.read_exact(&mut message).await.expect("a message");
    let decoded = postcard::take_from_bytes::<(u16, UpstreamMessage)>(&message);
    let ((_, message), _) = decoded.expect("a message");
    let UpstreamMessage::Response(response) = message else {
        panic!("a single crash is no suspicion");
    };
    assert_eq!(response.changes.len(), 1);
    assert!(response.as_of_after_poll.is_some());
}
