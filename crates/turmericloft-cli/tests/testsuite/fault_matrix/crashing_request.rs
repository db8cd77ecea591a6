//! A request that crashes every backend server that receives it.

use turmericloft_standins::backend::BackendFaults;

use super::installation::Installation;
use crate::support::{Booking, BookingResponse, eventually};

/// Cell number for the gateways' addresses, above the numbers of the matrix's cells.
const CELL: usize = 2_000;

/// Crashes within which the request must be quarantined.
const MAX_CRASHES: usize = 500;

async fn send(installation: &Installation, gateway: usize, body: &str) -> BookingResponse {
    let address = installation.gateways[gateway].address;
    let booking = Booking::issued_by(address, "crashing").await;
    let booking = booking.with_body(body);
    booking.send(address).await.expect("the gateway responds")
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_two_backend_servers_is_quarantined_on_all_gateways() {
    let installation = Installation::start(CELL).await;
    for backend in &installation.backends {
        backend.set_faults(BackendFaults {
            crash_on: Some("poison".to_owned()),
            ..Default::default()
        });
    }
    let mut crashes = 0;
    while send(&installation, 0, "a poison pill").await.status != 422 {
        crashes += 1;
        assert!(
            crashes < MAX_CRASHES,
            "not quarantined after {crashes} crashes"
        );
    }
    assert!(crashes >= 2, "quarantined after only {crashes} crashes");
    for gateway in 1..installation.gateways.len() {
        eventually(|| async {
            let resp = send(&installation, gateway, "a poison pill").await;
            (resp.status == 422).then_some(())
        })
        .await;
        let rejected = send(&installation, gateway, "a poison pill").await;
        assert_eq!(rejected.outcome(), "not-run");
        assert!(rejected.retry_after.is_some());
    }
    assert_eq!(installation.runs("crashing"), 0);
    assert_eq!(send(&installation, 0, "a party").await.status, 200);
}
