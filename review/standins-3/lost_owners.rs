//! Most machines of a deployment are lost for good; the others go on.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, OnRun, Run};
use crate::gateway::Gateway;
use crate::http::Message;
use crate::store::Store;
use crate::{Scene, TENANT_BOUNDS, client, config_with};

/// `recoveryS`: requests that are sent later than that after the fault count.
const RECOVERY: Duration = Duration::from_secs(15);
/// For how long they are counted.
const COUNTED_FOR: Duration = Duration::from_secs(20);
/// Pause of a client between two requests: far below the quota, with all clients together.
const PAUSE: Duration = Duration::from_millis(100);
/// Machines at first, and those that are left.
const MACHINES: u8 = 12;
const LEFT: [usize; 2] = [0, 1];

const ROUTES: [(&str, &str, &str, &str); 1] = [("r-reading", "/reading/", "safe", "readings-svc")];

/// A request: when it was sent, its tenant and its status (0 if it got no answer).
type Sent = (Instant, usize, u16);

pub fn run(scene: &Scene) -> Result<bool, String> {
    let record = &scene.record;
    let names: Vec<String> = (0..40).map(|n| format!("tenant{n}")).collect();
    let tenants: Vec<_> = names
        .iter()
        .map(|name| format!("\"{name}\":{{\"apiKeys\":[\"key-{name}\"],\"priority\":1,\"ratePerS\":334,\"burst\":334}}"))
        .collect();
    let tenants = format!(",\"tenants\":{{{}}}", tenants.join(","));
    let store = Store::start(&scene.ip(1));
    store.put("keyed.op", "config", &config_with(1, &ROUTES, &tenants));
    let on_run: OnRun = Arc::new(|_: &Endpoint, _: &Message| Run::Work(Duration::from_millis(30)));
    let _endpoints: Vec<_> = (0..6)
        .map(|n| {
            let address = format!("{}:8500", scene.ip(40 + n)).parse().unwrap();
            let (id, zone) = (format!("i-re{n}"), zone_of(n));
            Endpoint::start((&id, "readings-svc", zone), address, &store, &on_run, Duration::ZERO)
        })
        .collect();
    let mut gateways: Vec<_> = (0..MACHINES)
        .map(|n| {
            let name = format!("edge-{}-{n}", zone_of(n));
            Gateway::new((&name, zone_of(n), scene.ip(10 + n)), store.address, &TENANT_BOUNDS, &scene.dir)
        })
        .collect();
    gateways.iter_mut().for_each(|g| g.start(true));
    if !gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        return Err("a gateway is not ready".into());
    }
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(10));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let front = gateways[LEFT[n % LEFT.len()]].front();
            let (is_over, sent, next) = (Arc::clone(&is_over), Arc::clone(&sent), Arc::clone(&next));
            let names = names.clone();
            thread::spawn(move || {
                while !is_over.load(SeqCst) {
                    let (id, at) = (client::attempt_id(), Instant::now());
                    let tenant = next.fetch_add(1, SeqCst) % names.len();
                    let key = format!("Authorization: Bearer key-{}\r\n", names[tenant]);
                    let deadline = Duration::from_secs(2);
                    let answer = client::send_with(front, "GET", "/reading/1", &id, deadline, &key);
                    sent.lock().unwrap().push((at, tenant, answer.map_or(0, |a| a.status())));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let fault_at = Instant::now();
    if scene.has_trouble {
        record.say("all machines but two are lost");
        for (number, gateway) in gateways.iter_mut().enumerate() {
            if !LEFT.contains(&number) {
                gateway.kill();
            }
        }
    }
    thread::sleep(RECOVERY + COUNTED_FOR);
    is_over.store(true, SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    gateways.iter_mut().for_each(Gateway::kill);
    let sent = sent.lock().unwrap();
    let counted: Vec<_> = sent.iter().filter(|s| s.0 >= fault_at + RECOVERY).collect();
    let served = |of: &[&&Sent]| of.iter().filter(|s| s.2 == 200).count();
    let all: Vec<_> = counted.iter().collect();
    let all_share = served(&all) as f64 / all.len() as f64;
    record.say(&format!("all tenants: sent={} served={}", all.len(), served(&all)));
    let mut starved = 0;
    for (number, name) in names.iter().enumerate() {
        let of: Vec<_> = counted.iter().filter(|s| s.1 == number).collect();
        let share = served(&of) as f64 / of.len().max(1) as f64;
        let before = sent.iter().filter(|s| s.1 == number && s.0 < fault_at);
        let before: Vec<_> = before.map(|s| s.2).collect();
        let before_ok = before.iter().filter(|status| **status == 200).count();
        if before_ok * 2 < before.len() {
            return Err(format!("{name} was not served before"));
        }
        let is_starved = share < all_share / 4.0;
        starved += u32::from(is_starved);
        record.say(&format!("{name}: sent={} served={} starved={is_starved}", of.len(), served(&of)));
    }
    if all_share < 0.5 {
        return Err("less than half was served".into());
    }
    record.say(&format!("tenants={} starved={starved}", names.len()));
    Ok(starved == 0)
}

fn zone_of(number: u8) -> &'static str {
    ["amman-a", "amman-b", "amman-c"][usize::from(number % 3)]
}
