//! A transcript of guarded actions sent to three gateways.

use std::{fmt::Write, net::SocketAddr};

use nix::sys::signal::Signal;
use turmericloft_standins::backend::BackendFaults;

use crate::support::{Booking, Platform, runs, set_backend_faults};

/// Requests and responses in order, without ids and incarnations.
struct Transcript {
    text: String,
    backend: SocketAddr,
    gateways: Vec<SocketAddr>,
}

impl Transcript {
    async fn send(&mut self, label: &str, booking: &Booking, gateway: usize) {
        let response = booking.send(self.gateways[gateway - 1]).await;
        let response = response.expect("the gateway responds");
        let runs = runs(self.backend, &booking.tag).await;
        let mut body = response.body.trim_end_matches('.').to_owned();
        mask_incarnation(&mut body);
        let retry = response
            .retry_after
            .map(|s| format!(" (retry after {s} s)"));
        let retry = retry.unwrap_or_default();
        let _ = writeln!(
            self.text,
            "{label}, to gw-{gateway}: {}{retry}, runs {runs}\n  {body}",
            response.status
        );
    }

    async fn set_faults(&mut self, faults: BackendFaults) {
        set_backend_faults(self.backend, &faults).await;
    }
}

/// Replaces the number after each `gw-N.`.
fn mask_incarnation(text: &mut String) {
    for gateway in ["gw-1.", "gw-2.", "gw-3."] {
        if let Some(at) = text.find(gateway) {
            let start = at + gateway.len();
            let digits = text[start..].bytes().take_while(u8::is_ascii_digit).count();
            text.replace_range(start..start + digits, "[N]");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn issued_action_ids_run_at_most_once_over_three_gateways() {
    let mut platform = Platform::start_gateways(3).await;
    platform.promote();
    for other in &mut platform.other_gateways {
        other.process.wait_for_line("is in force");
    }
    let mut transcript = Transcript {
        text: String::new(),
        backend: platform.backend,
        gateways: platform.gateways(),
    };
    let executor = platform.caller_address;
    let a = Booking::issued_by(executor, "a").await;
    transcript.send("a, first", &a, 2).await;
    transcript.send("a, retried", &a, 3).await;
    transcript.send("a, retried", &a, 1).await;
    transcript.send("a, other body", &a.with_body("x"), 2).await;
    let mut forged = a.clone();
    let authenticator = forged.id_header.1.len() - 16..forged.id_header.1.len() - 8;
    let reversed: String = forged.id_header.1[authenticator.clone()]
        .chars()
        .rev()
        .collect();
    forged.id_header.1.replace_range(authenticator, &reversed);
    transcript.send("a, forged id", &forged, 2).await;
    let mut bare = a.clone();
    bare.id_header = ("unrelated", "x".to_owned());
    transcript.send("no id", &bare, 2).await;

    let b = Booking::issued_by(executor, "b").await;
    transcript
        .set_faults(BackendFaults {
            crash_after_run: true,
            ..Default::default()
        })
        .await;
    transcript.send("b, response lost", &b, 2).await;
    transcript.set_faults(BackendFaults::default()).await;
    transcript.send("b, retried", &b, 3).await;

    let c = Booking::issued_by(executor, "c").await;
    transcript
        .set_faults(BackendFaults {
            shed: true,
            ..Default::default()
        })
        .await;
    transcript.send("c, shed", &c, 1).await;
    transcript.set_faults(BackendFaults::default()).await;
    transcript.send("c, retried", &c, 2).await;

    let d = Booking::issued_by(executor, "d").await;
    transcript.send("d, first", &d, 1).await;
    let e = Booking::issued_by(executor, "e").await;
    platform.gateway.signal(Signal::SIGKILL);
    platform.gateway.wait();
    transcript.send("d, executor killed", &d, 2).await;
    transcript.send("e, executor killed", &e, 3).await;
    snapbox::assert_data_eq!(
        transcript.text,
        snapbox::str![[r#"
a, first, to gw-2: 200, runs 1
  /book party of a
a, retried, to gw-3: 200, runs 1
  /book party of a
a, retried, to gw-1: 200, runs 1
  /book party of a
a, other body, to gw-2: 422, runs 1
  {"status":422,"title":"Unprocessable Entity","outcome":"refused","step":"received","detail":"the key or action id belongs to another request"}
a, forged id, to gw-2: 403, runs 1
  {"status":403,"title":"Forbidden","outcome":"refused","step":"matched","detail":"the action id was not issued to this caller for this service"}
no id, to gw-2: 428, runs 1
  {"status":428,"title":"Precondition Required","outcome":"not-run","step":"matched","detail":"a guarded action needs an action id or an Idempotency-Key header"}
b, response lost, to gw-2: 502, runs 1
  {"status":502,"title":"Bad Gateway","outcome":"unknown","step":"first-byte-sent","detail":"call to [..] ended at step first-byte-sent"}
b, retried, to gw-3: 502, runs 1
  {"status":502,"title":"Bad Gateway","outcome":"unknown","step":"first-byte-sent","detail":"call to [..] ended at step first-byte-sent"}
c, shed, to gw-1: 503 (retry after 1 s), runs 0
  {"status":503,"title":"Service Unavailable","outcome":"not-run","step":"answer-begun","detail":"the service shed the request without starting it","retry_after_ms":1000}
c, retried, to gw-2: 503 (retry after 1 s), runs 0
  {"status":503,"title":"Service Unavailable","outcome":"not-run","step":"answer-begun","detail":"the service shed the request without starting it","retry_after_ms":1000}
d, first, to gw-1: 200, runs 1
  /book party of d
d, executor killed, to gw-2: 502, runs 1
  {"status":502,"title":"Bad Gateway","outcome":"unknown","step":"forwarded","detail":"gateway gw-1.[N] gave no answer: [..]; the action may have run"}
e, executor killed, to gw-3: 502, runs 0
  {"status":502,"title":"Bad Gateway","outcome":"unknown","step":"forwarded","detail":"gateway gw-1.[N] gave no answer: [..]; the action may have run"}

"#]]
    );
}
