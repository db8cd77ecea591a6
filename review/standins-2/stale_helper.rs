//! The gateways of one zone are partitioned from all endpoints, those of another one are refused by the store, and the
//! configuration moves a route to another service meanwhile.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Call, Client};
use crate::endpoint::{Endpoint, EndpointLink};
use crate::gateway::{network, Deployment, Gateway, Place};
use crate::store::{Store, StoreLink};
use crate::{Scene, BOUNDS};

const OLD_SERVICE: &str = "kalender";
const NEW_SERVICE: &str = "bokning";
const GATEWAYS_PER_ZONE: usize = 2;
const CLIENTS: usize = 4;
const WORK: Duration = Duration::from_millis(96);
const DEADLINE: Duration = Duration::from_millis(1_200);
/// `rollbackSlackS`.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// How long the store refuses the gateways of the third zone.
const REFUSED_FOR: Duration = Duration::from_secs(9);

fn config(version: u32, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":{{"notices":{{"host":"notice.example","pathPrefix":"/notice/","routeType":"unsafe","timeoutS":1.2,"targetLatencyS":0.25,"priority":2,"service":"{service}","maxAttempts":2}}}},"services":{{"kalender":{{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"bokning":{{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}}}"#
    )
}

pub fn run(scene: &Scene) -> Result<bool, String> {
    let record = &scene.record;
    let store = Arc::new(Store::default());
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("keyed.op", "config", &config(3, OLD_SERVICE));
    let zones: Vec<_> = (1..=3).map(|n| format!("zone-{n}")).collect();
    let endpoints: Vec<_> = (0..12)
        .map(|n| {
            let service = [OLD_SERVICE, NEW_SERVICE][n / 6];
            let names = (&*format!("i-{n:02}"), service, &*zones[n % 3]);
            Endpoint::start(names, (4, WORK), &store, &runs, record)
        })
        .collect();
    let cut: Vec<_> = zones.iter().map(|_| Arc::new(AtomicBool::new(false))).collect();
    let addresses: Vec<_> = cut
        .iter()
        .map(|cut| {
            let links = endpoints.iter().map(|e| (e.id.clone(), EndpointLink::open(e.address, cut).address));
            Arc::new(links.collect::<HashMap<_, _>>())
        })
        .collect();
    let deployment = Deployment {
        zones: zones.clone(),
        memory_mb: 260,
        bounds: BOUNDS.map(String::from).to_vec(),
    };
    let net = network();
    let mut store_links: Vec<(usize, StoreLink)> = Vec::new();
    let mut gateways = Vec::new();
    for (zone, zone_name) in zones.iter().enumerate() {
        for n in 1..=GATEWAYS_PER_ZONE {
            let link = store.link(Arc::clone(&addresses[zone]));
            let place = Place {
                name: format!("edge-{zone_name}-{n}"),
                zone: zone_name,
                ip: format!("{net}.{}", zone * 10 + n),
                store: link.address,
                is_bootstrap: true,
            };
            gateways.push(Gateway::start(&scene.dir, &deployment, &place));
            store_links.push((zone, link));
        }
    }
    if !gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    let front = gateways[0].front;
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, sent, record) = (Arc::clone(&stop), Arc::clone(&sent), Arc::clone(record));
            thread::spawn(move || {
                let mut connection = Client::new(front, Duration::from_secs(4));
                let mut n = 0;
                while !stop.load(Ordering::Acquire) {
                    n += 1;
                    let id = format!("notice-{client}-{n}");
                    sent.lock().unwrap().insert(id.clone(), Instant::now());
                    let call = Call {
                        method: "DELETE",
                        host: "notice.example",
                        path: "/notice/1",
                        id: &id,
                        deadline: DEADLINE,
                        body: 0,
                        headers: "",
                    };
                    let how = match connection.call(&call) {
                        Answer::Response(r) => format!("status={}", r.status()),
                        other => format!("{other:?}"),
                    };
                    record.line(&format!("ended request={id} {how}"));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if scene.has_trouble {
        record.line("zone-1 is partitioned from all endpoints");
        cut[0].store(true, Ordering::Release);
        thread::sleep(Duration::from_secs(4));
        record.line("the store refuses zone-3");
        refuse(&store_links, true);
    }
    thread::sleep(Duration::from_secs(1));
    let acknowledged = store.put("keyed.op", "config", &config(5, NEW_SERVICE));
    record.line("version 5 acknowledged");
    thread::sleep(REFUSED_FOR - Duration::from_secs(1));
    refuse(&store_links, false);
    record.line("the store serves zone-3 again");
    thread::sleep(Duration::from_secs(2));
    cut[0].store(false, Ordering::Release);
    record.line("zone-1 reaches endpoints again");
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Release);
    clients.into_iter().for_each(|t| t.join().unwrap());
    gateways.clear();
    let runs = runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let effect = runs.iter().filter(|r| r.service == NEW_SERVICE).map(|r| r.at).min();
    let Some(effect) = effect else {
        return Err("no endpoint has seen the new version".into());
    };
    let stale: Vec<_> = runs
        .iter()
        .filter(|r| r.service == OLD_SERVICE && sent.get(&r.id).is_some_and(|at| *at > effect + ROLLBACK_SLACK))
        .collect();
    for run in &stale {
        let after = sent[&run.id].duration_since(effect).as_secs_f64();
        record.line(&format!("stale request={} sent_after_effect_s={after:.3}", run.id));
    }
    let last = stale.iter().map(|r| sent[&r.id].duration_since(effect).as_secs_f64()).fold(0.0, f64::max);
    record.say(&format!(
        "requests sent to edge-zone-1-1: {}; run: {}; effect of version 5 seen {:.3} s after its acknowledgement; run by the \
         service of version 3 though sent over 0.25 s after that: {}, the last one sent {last:.3} s after it",
        sent.len(),
        runs.len(),
        effect.duration_since(acknowledged).as_secs_f64(),
        stale.len(),
    ));
    let holds = stale.is_empty();
    record.say(if holds { "CONFIG holds" } else { "CONFIG is broken" });
    Ok(holds)
}

/// Has the store refuse the gateways of the third zone, or serve them.
fn refuse(links: &[(usize, StoreLink)], is_refused: bool) {
    for (_, link) in links.iter().filter(|(zone, _)| *zone == 2) {
        link.is_refused.store(is_refused, Ordering::Release);
    }
}
