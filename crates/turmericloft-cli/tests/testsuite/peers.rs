//! Connections between gateways, and the certificates that they use.

use nix::sys::signal::Signal;

use crate::support::Platform;

#[tokio::test(flavor = "multi_thread")]
async fn gateways_on_the_host_list_connect_and_activate_the_promoted_document() {
    let mut platform = Platform::start_gateways(3).await;
    platform.promote();
    for other in &mut platform.other_gateways {
        other.process.wait_for_line("version 1 is in force");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn new_certificates_are_loaded_without_a_restart() {
    let mut platform = Platform::start_gateways(2).await;
    platform.renew_identity();
    platform.gateway.wait_for_line("new certificates are used");
    platform.other_gateways[0]
        .process
        .wait_for_line("new certificates are used");
    platform.gateway.signal(Signal::SIGTERM);
    assert!(platform.gateway.wait().success());
}
