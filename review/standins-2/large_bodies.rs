//! A few clients send bodies of the size that the configuration allows, beside clients with small ones.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Call, Client};
use crate::endpoint::Endpoint;
use crate::gateway::{network, resident_kb, Deployment, Gateway, Place};
use crate::store::Store;
use crate::{Scene, BOUNDS};

/// `memoryMb` in the settings of the gateways, as in `kalas-gw.toml`.
const MEMORY_MB: u64 = 260;
/// `maxBodyBytes` of the configuration, as `fleetbench wire` shows it.
const MAX_BODY_BYTES: usize = 67_108_864;
/// Clients that send such a body at the same moment.
const LARGE_CLIENTS: usize = 2;
/// Clients with small requests, each on a connection that it keeps.
const SMALL_CLIENTS: usize = 24;
const SMALL_BODY_BYTES: usize = 300;
const WORK: Duration = Duration::from_millis(320);
const DEADLINE: Duration = Duration::from_secs(2);
/// Cut requests that the rule allows.
const ALLOWED_CUTS: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":{"bookings":{"host":"book.example","pathPrefix":"/book/","routeType":"unsafe","timeoutS":2,"targetLatencyS":0.4,"priority":1,"service":"bokning","maxAttempts":2}},"services":{"bokning":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;

pub fn run(scene: &Scene) -> Result<bool, String> {
    let record = &scene.record;
    let store = Arc::new(Store::default());
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("keyed.op", "config", CONFIG);
    let endpoints: Vec<_> = (1..=10)
        .map(|n| {
            let names = (&*format!("i-{n:02}"), "bokning", &*format!("zone-{}", n % 3 + 1));
            Endpoint::start(names, (4, WORK), &store, &runs, record)
        })
        .collect();
    let addresses = endpoints.iter().map(|e| (e.id.clone(), e.address));
    let link = store.link(Arc::new(addresses.collect::<HashMap<_, _>>()));
    let deployment = Deployment {
        zones: (1..=3).map(|n| format!("zone-{n}")).collect(),
        memory_mb: MEMORY_MB,
        bounds: BOUNDS.map(String::from).to_vec(),
    };
    let net = network();
    let gateways: Vec<_> = (1..=3)
        .map(|n| {
            let place = Place {
                name: format!("edge-{n}"),
                zone: &deployment.zones[n - 1],
                ip: format!("{net}.{n}"),
                store: link.address,
                is_bootstrap: true,
            };
            Gateway::start(&scene.dir, &deployment, &place)
        })
        .collect();
    if !gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let front = gateways[0].front;
    let pid = gateways[0].pid();
    let gateways = Arc::new(Mutex::new(gateways));
    let stop = Arc::new(AtomicBool::new(false));
    let peak_kb = watch_memory(scene, &gateways, pid, &stop);
    let cuts: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(Mutex::new(0));
    let started = Instant::now();
    let small: Vec<_> = (0..SMALL_CLIENTS)
        .map(|client| {
            let (stop, cuts, record) = (Arc::clone(&stop), Arc::clone(&cuts), Arc::clone(record));
            let answered = Arc::clone(&answered);
            thread::spawn(move || {
                let mut connection = Client::new(front, Duration::from_secs(4));
                let mut n = 0;
                // Spreads the clients' requests over the time that each takes.
                thread::sleep(WORK * client as u32 / SMALL_CLIENTS as u32);
                while !stop.load(Ordering::Acquire) {
                    n += 1;
                    let id = format!("small-{client}-{n}");
                    match connection.call(&call(&id, SMALL_BODY_BYTES)) {
                        Answer::Response(r) => {
                            record.line(&format!("answered request={id} status={}", r.status()));
                            *answered.lock().unwrap() += 1;
                        }
                        Answer::Cut(how) => {
                            record.line(&format!("cut request={id} how={how}"));
                            cuts.lock().unwrap().push(id);
                        }
                        other => {
                            record.line(&format!("failed request={id} {other:?}"));
                            thread::sleep(Duration::from_millis(100));
                        }
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let size = if scene.has_trouble { MAX_BODY_BYTES } else { SMALL_BODY_BYTES };
    let large: Vec<_> = (0..LARGE_CLIENTS)
        .map(|client| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let id = format!("large-{client}");
                record.line(&format!("sent request={id} body_bytes={size}"));
                let answer = Client::new(front, Duration::from_secs(4)).call(&call(&id, size));
                let how = match answer {
                    Answer::Response(r) => format!("status={}", r.status()),
                    other => format!("{other:?}"),
                };
                record.line(&format!("ended request={id} {how}"));
            })
        })
        .collect();
    large.into_iter().for_each(|t| t.join().unwrap());
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Release);
    small.into_iter().for_each(|t| t.join().unwrap());
    let peak_kb = peak_kb.join().unwrap();
    let runs = runs.lock().unwrap();
    let cuts = cuts.lock().unwrap();
    let lost = cuts.iter().filter(|id| runs.iter().any(|r| r.id == **id)).count();
    record.say(&format!(
        "small requests answered={} cut={} cut_and_passed_on={lost} in {:.0} s; gateway memory peak={} MiB of {MEMORY_MB}",
        answered.lock().unwrap(),
        cuts.len(),
        started.elapsed().as_secs_f64(),
        peak_kb / 1024,
    ));
    let holds = lost <= ALLOWED_CUTS;
    record.say(if holds { "LOST holds" } else { "LOST is broken" });
    gateways.lock().unwrap().clear();
    Ok(holds)
}

fn call(id: &str, body: usize) -> Call<'_> {
    Call { method: "POST", host: "book.example", path: "/book/1", id, deadline: DEADLINE, body, headers: "" }
}

/// The platform: kills the first gateway if it exceeds its memory.
fn watch_memory(
    scene: &Scene,
    gateways: &Arc<Mutex<Vec<Gateway>>>,
    pid: u32,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<u64> {
    let (gateways, stop, record) = (Arc::clone(gateways), Arc::clone(stop), Arc::clone(&scene.record));
    thread::spawn(move || {
        let mut peak = 0;
        while !stop.load(Ordering::Acquire) {
            let used = resident_kb(pid).unwrap_or(0);
            peak = peak.max(used);
            if used > MEMORY_MB * 1024 {
                record.say(&format!("edge-1 uses {} MiB of {MEMORY_MB}; the platform kills it", used / 1024));
                gateways.lock().unwrap()[0].kill();
                return peak;
            }
            thread::sleep(Duration::from_millis(2));
        }
        peak
    })
}
