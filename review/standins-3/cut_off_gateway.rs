//! One of three gateways with equal load is partitioned from all endpoints.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, OnRun, Run};
use crate::gateway::Gateway;
use crate::http::Message;
use crate::proxy::Proxy;
use crate::store::Store;
use crate::{BOUNDS, Scene, client, config};

/// `stabilityWindowS`: first tries that are sent later than that after the cut began count.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// How long the gateway is cut off.
const CUT_FOR: Duration = Duration::from_secs(12);
/// Time that an endpoint works on a request.
const WORK: Duration = Duration::from_millis(700);
/// Each client sends a request so often, whatever becomes of the one before.
const PERIOD: Duration = Duration::from_millis(800);
/// Clients of each gateway.
const CLIENTS: u32 = 20;
const ENDPOINTS: u8 = 24;

const ROUTES: [(&str, &str, &str, &str); 3] = [
    ("r-lookup", "/lookup/", "safe", "kalender"),
    ("r-book", "/book/", "safe", "bokning"),
    ("r-send", "/send/", "safe", "utskick"),
];

/// A request: when it was sent, its gateway and its status (0 if it got no answer).
type Sent = (Instant, usize, u16);

pub fn run(scene: &Scene) -> Result<bool, String> {
    let record = &scene.record;
    let store = Store::start(&scene.ip(1));
    store.put("keyed.op", "config", &config(1, &ROUTES));
    let on_run: OnRun = Arc::new(|_: &Endpoint, _: &Message| Run::Work(WORK));
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|n| {
            let address = format!("{}:8500", scene.ip(100 + n)).parse().unwrap();
            let (id, service) = (format!("i-{n}"), ROUTES[usize::from(n % 3)].3);
            Endpoint::start((&id, service, zone_of(n / 3)), address, &store, &on_run, Duration::ZERO)
        })
        .collect();
    // The first gateway sees the endpoints at the addresses of proxies.
    let view = store.start_view(&scene.ip(2), (":8500", ":8600"));
    let proxies: Vec<_> = endpoints
        .iter()
        .map(|e| Proxy::start(format!("{}:8600", e.address.ip()).parse().unwrap(), e.address))
        .collect();
    let mut gateways: Vec<_> = (0..3_u8)
        .map(|n| {
            let name = format!("edge-{n}");
            let store = if n == 0 { view } else { store.address };
            Gateway::new((&name, zone_of(n), scene.ip(10 + n)), store, &BOUNDS, &scene.dir)
        })
        .collect();
    gateways.iter_mut().for_each(|g| g.start(true));
    if !gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for (number, gateway) in gateways.iter().enumerate() {
        for n in 0..CLIENTS {
            let front = gateway.front();
            let (is_over, sent) = (Arc::clone(&is_over), Arc::clone(&sent));
            clients.push(thread::spawn(move || {
                let path = format!("{}1", ROUTES[n as usize % 3].1);
                // The clients are spread over the period.
                thread::sleep(PERIOD * n / CLIENTS);
                while !is_over.load(SeqCst) {
                    let (id, at) = (client::attempt_id(), Instant::now());
                    let answer = client::send(front, "GET", &path, &id, Duration::from_millis(1_500));
                    sent.lock().unwrap().push((at, number, answer.map_or(0, |a| a.status())));
                    thread::sleep(PERIOD.saturating_sub(at.elapsed()));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(6));
    let cut_at = Instant::now();
    if scene.has_trouble {
        record.say("edge-0 is partitioned from all endpoints");
        proxies.iter().for_each(|p| p.cut());
    }
    thread::sleep(CUT_FOR);
    is_over.store(true, SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    gateways.iter_mut().for_each(Gateway::kill);
    let sent = sent.lock().unwrap();
    let count = |from: Instant, to: Instant, number: usize| {
        let of: Vec<_> = sent.iter().filter(|s| s.0 >= from && s.0 < to && s.1 == number).collect();
        let served = of.iter().filter(|s| s.2 == 200).count();
        (of.len(), served)
    };
    let (from, to) = (cut_at + STABILITY_WINDOW, cut_at + CUT_FOR);
    let mut counts = Vec::new();
    for number in 0..3 {
        // What was in flight when the cut began is not counted.
        let before = count(cut_at - Duration::from_secs(5), cut_at - WORK * 2, number);
        let during = count(from, to, number);
        record.say(&format!(
            "edge-{number}: before: sent={} served={}, later than 3 s after the cut: sent={} served={}",
            before.0, before.1, during.0, during.1
        ));
        counts.push(during);
    }
    if counts.iter().any(|c| c.0 == 0) {
        return Err("a gateway got no requests".into());
    }
    let at_cut = counts[0].1 as f64 / counts[0].0 as f64;
    let others = (counts[1].1 + counts[2].1) as f64 / (counts[1].0 + counts[2].0) as f64;
    let all: usize = counts.iter().map(|c| c.0).sum();
    let failed: usize = counts.iter().map(|c| c.0 - c.1).sum();
    record.say(&format!("served at edge-0: {at_cut:.3}, at the others: {others:.3}; failed {failed} of {all}"));
    Ok(at_cut >= others * 2.0 / 3.0 || failed <= 10 + all / 50)
}

fn zone_of(number: u8) -> &'static str {
    ["syd", "mitt", "norr"][usize::from(number % 3)]
}
