//! Requests that are sent before the responses to earlier ones.

use tokio::task::yield_now;

use super::{
    client::{Client, request},
    endpoint::{Behaviour, Endpoint},
    gateway::Gateway,
};

#[tokio::test]
async fn pipelined_idempotent_requests_run_concurrently_and_get_responses_in_order() {
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let requests: String = (0..4)
        .map(|i| request("GET", "/read/1", &format!("r{i}")))
        .collect();
    client.send(&requests).await;
    // All four are at the endpoint before any of them gets a response.
    endpoint
        .arrived
        .acquire_many(4)
        .await
        .expect("open")
        .forget();
    endpoint.release.add_permits(4);
    for i in 0..4 {
        let response = client.response().await.expect("a response");
        assert_eq!(
            response.headers.get_str("Id"),
            Some(format!("r{i}").as_str())
        );
    }
}

/// A client sends without end while the response to its first request is pending.
#[tokio::test]
async fn bytes_behind_a_pending_request_are_read_up_to_a_limit() {
    /// Times without progress after which the gateway and both socket buffers are full.
    const MAX_BLOCKED: usize = 20_000;
    /// More than the socket buffers and the gateway's limit hold.
    const MAX_BYTES: usize = 64 << 20;
    let endpoint = Endpoint::start(Behaviour::Hold).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    client.send(&request("POST", "/act/1", "r0")).await;
    endpoint.arrived.acquire().await.expect("open").forget();
    let bytes = request("POST", "/act/1", "r1").repeat(1_000);
    let mut sent = 0;
    let mut blocked = 0;
    while blocked < MAX_BLOCKED {
        match client.stream.try_write(bytes.as_bytes()) {
            Ok(n) => {
                sent += n;
                blocked = 0;
            }
            Err(_) => {
                blocked += 1;
                yield_now().await;
            }
        }
        assert!(sent < MAX_BYTES, "the gateway reads without a limit");
    }
    endpoint.release.add_permits(1);
    assert_eq!(client.response().await.expect("a response").status, 200);
}

#[tokio::test]
async fn pipelined_at_most_once_request_starts_after_earlier_requests_complete() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let requests = [
        request("GET", "/read/1", "r0"),
        request("POST", "/act/1", "r1"),
        request("GET", "/read/1", "r2"),
    ];
    client.send(&requests.concat()).await;
    for i in 0..3 {
        let response = client.response().await.expect("a response");
        assert_eq!(
            response.headers.get_str("Id"),
            Some(format!("r{i}").as_str())
        );
    }
    let order: Vec<_> = endpoint.ran().into_iter().map(|r| r.id).collect();
    assert_eq!(order, ["r0", "r1", "r2"]);
}

#[tokio::test]
async fn requests_after_one_that_closes_the_connection_do_not_run() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let first = request("POST", "/act/1", "r0").replace("Host", "Connection: close\r\nHost");
    client
        .send(&(first + &request("POST", "/act/1", "r1")))
        .await;
    assert_eq!(client.response().await.expect("a response").status, 200);
    assert!(client.response().await.is_none());
    assert_eq!(endpoint.ran().len(), 1);
}

#[tokio::test]
async fn malformed_request_gets_400_after_responses_to_earlier_requests() {
    let endpoint = Endpoint::start(Behaviour::Respond).await;
    let gateway = Gateway::start(std::slice::from_ref(&endpoint)).await;
    let mut client = Client::connect(gateway.clients).await;
    let smuggled = "POST /act/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 4\r\n\
        Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /act/2 HTTP/1.1\r\n";
    client
        .send(&(request("GET", "/read/1", "r0") + smuggled))
        .await;
    assert_eq!(client.response().await.expect("a response").status, 200);
    assert_eq!(client.response().await.expect("a response").status, 400);
    assert!(client.response().await.is_none());
    assert_eq!(endpoint.ran().len(), 1);
}
