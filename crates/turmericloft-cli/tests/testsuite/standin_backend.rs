//! Injected faults of the stand-in for a backend server, as a client of it observes them.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use turmericloft_standins::backend::{BackendFaults, BackendStandin};

const ANY_PORT: &str = "127.0.0.1:0";

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address)
        .await
        .expect("the stand-in listens")
}

async fn post(stream: &mut TcpStream, tag: &str, body: &str) {
    let length = body.len();
    let req = format!(
        "POST / HTTP/1.1\r\nhost: b\r\nrun-tag: {tag}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream
        .write_all(req.as_bytes())
        .await
        .expect("the connection is open");
}

async fn bytes_until_closed(stream: &mut TcpStream) -> usize {
    let mut buf = Vec::new();
    let _ = stream.read_to_end(&mut buf).await;
    buf.len()
}

#[tokio::test]
async fn crash_before_the_run_closes_the_connection_without_a_response() {
    let standin = BackendStandin::new(
        BackendFaults {
            crash_before_run: true,
            ..Default::default()
        },
        1,
    );
    let server = standin.serve(ANY_PORT.parse().unwrap()).await.unwrap();
    let mut stream = connect(server.address).await;
    post(&mut stream, "t", "x").await;
    assert_eq!(bytes_until_closed(&mut stream).await, 0);
    assert_eq!(standin.runs().total, 0);
}

#[tokio::test]
async fn crash_after_the_run_loses_the_response_but_counts_the_run() {
    let standin = BackendStandin::new(
        BackendFaults {
            crash_after_run: true,
            ..Default::default()
        },
        1,
    );
    let server = standin.serve(ANY_PORT.parse().unwrap()).await.unwrap();
    let mut stream = connect(server.address).await;
    post(&mut stream, "t", "x").await;
    assert_eq!(bytes_until_closed(&mut stream).await, 0);
    assert_eq!(standin.runs().by_tag["t"], 1);
}

#[tokio::test]
async fn crashing_request_closes_all_connections_and_new_ones_are_served() {
    let standin = BackendStandin::new(
        BackendFaults {
            crash_on: Some("poison".to_owned()),
            ..Default::default()
        },
        1,
    );
    let server = standin.serve(ANY_PORT.parse().unwrap()).await.unwrap();
    let mut idle = connect(server.address).await;
    post(&mut idle, "first", "x").await;
    let mut buf = [0; 1024];
    assert!(idle.read(&mut buf).await.unwrap() > 0);
    let mut stream = connect(server.address).await;
    post(&mut stream, "second", "a poison pill").await;
    assert_eq!(bytes_until_closed(&mut stream).await, 0);
    bytes_until_closed(&mut idle).await;
    let mut after = connect(server.address).await;
    post(&mut after, "third", "x").await;
    assert!(after.read(&mut buf).await.unwrap() > 0);
    assert!(!standin.runs().by_tag.contains_key("second"));
}

#[tokio::test]
async fn silenced_connection_runs_nothing_while_new_ones_are_served() {
    let standin = BackendStandin::new(BackendFaults::default(), 1);
    let server = standin.serve(ANY_PORT.parse().unwrap()).await.unwrap();
    let mut silent = connect(server.address).await;
    post(&mut silent, "before", "x").await;
    let mut buf = [0; 1024];
    assert!(silent.read(&mut buf).await.unwrap() > 0);
    standin.set_faults(BackendFaults {
        silence_open: true,
        ..Default::default()
    });
    post(&mut silent, "lost", "x").await;
    let mut after = connect(server.address).await;
    post(&mut after, "after", "x").await;
    assert!(after.read(&mut buf).await.unwrap() > 0);
    assert!(!standin.runs().by_tag.contains_key("lost"));
    drop(server);
    assert_eq!(bytes_until_closed(&mut silent).await, 0);
}
