//! Both gateways of a zone are partitioned from the store, one for longer than the other, and an endpoint leaves just
//! after the other one reaches the store again.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Call, Client};
use crate::endpoint::Endpoint;
use crate::gateway::{network, Deployment, Gateway, Place};
use crate::store::Store;
use crate::{Scene, BOUNDS};

/// `drainS`.
const DRAIN: Duration = Duration::from_secs(2);
/// `stabilityWindowS`.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// How long the gateway that the other one follows is cut off.
const LONG_CUT: Duration = Duration::from_secs(12);
/// How long the other one is, in each round.
const SHORT_CUTS_MS: [u64; 3] = [4_200, 4_700, 5_200];
/// From the end of the shorter cut until an endpoint leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(200);
const CLIENTS: usize = 6;
const CONFIG: &str = r#"{"version":3,"routes":{"charges":{"host":"fee.example","pathPrefix":"/fee/","routeType":"unsafe","timeoutS":0.5,"targetLatencyS":0.2,"priority":0,"service":"feeledger","maxAttempts":2}},"services":{"feeledger":{"healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#;

pub fn run(scene: &Scene) -> Result<bool, String> {
    let record = &scene.record;
    let store = Arc::new(Store::default());
    let runs = Arc::new(Mutex::new(Vec::new()));
    store.put("keyed.op", "config", CONFIG);
    let zones: Vec<_> = (1..=3).map(|n| format!("zone-{n}")).collect();
    let endpoints: Vec<_> = (0..6)
        .map(|n| {
            let names = (&*format!("i-{n:02}"), "feeledger", &*zones[n % 3]);
            Endpoint::start(names, (6, Duration::from_millis(67)), &store, &runs, record)
        })
        .collect();
    let addresses: Arc<HashMap<_, _>> = Arc::new(endpoints.iter().map(|e| (e.id.clone(), e.address)).collect());
    let deployment = Deployment {
        zones: zones.clone(),
        memory_mb: 260,
        bounds: BOUNDS.map(String::from).to_vec(),
    };
    let net = network();
    let mut links = Vec::new();
    let mut gateways = Vec::new();
    for n in 0..6 {
        let link = store.link(Arc::clone(&addresses));
        let place = Place {
            name: format!("edge-{}-{}", zones[n / 2], n % 2 + 1),
            zone: &zones[n / 2],
            ip: format!("{net}.{}", n + 1),
            store: link.address,
            is_bootstrap: true,
        };
        gateways.push(Gateway::start(&scene.dir, &deployment, &place));
        links.push(link);
    }
    if !gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    // The gateway of zone-1 that reads the store for both.
    let calls = |n: usize| links[n].answered.load(Ordering::Relaxed);
    let before = [calls(0), calls(1)];
    thread::sleep(Duration::from_secs(3));
    let first = usize::from(calls(1) - before[1] > calls(0) - before[0]);
    let second = 1 - first;
    record.line(&format!("edge-zone-1-{} follows edge-zone-1-{}", second + 1, first + 1));
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let front = gateways[second].front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, sent, record) = (Arc::clone(&stop), Arc::clone(&sent), Arc::clone(record));
            thread::spawn(move || send(client, front, &stop, &sent, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    // Endpoints that left, from when on none of the requests sent to the second gateway may reach them.
    let mut left = HashMap::new();
    for (round, short) in SHORT_CUTS_MS.into_iter().enumerate() {
        let begin = Instant::now();
        if scene.has_trouble {
            record.line("both gateways of zone-1 are partitioned from the store");
            links[first].is_cut.store(true, Ordering::Release);
            links[second].is_cut.store(true, Ordering::Release);
        }
        thread::sleep(Duration::from_millis(short));
        links[second].is_cut.store(false, Ordering::Release);
        let healed = Instant::now();
        record.line(&format!("edge-zone-1-{} reaches the store again", second + 1));
        thread::sleep(LEAVES_AFTER);
        let endpoint = &endpoints[round];
        let acknowledged = endpoint.leave(&store);
        record.line(&format!("the store acknowledges that {} is gone; it serves on", endpoint.id));
        left.insert(endpoint.id.clone(), (acknowledged, (acknowledged + DRAIN).max(healed + STABILITY_WINDOW)));
        thread::sleep(LONG_CUT.saturating_sub(begin.elapsed()));
        links[first].is_cut.store(false, Ordering::Release);
        record.line(&format!("edge-zone-1-{} reaches the store again", first + 1));
        thread::sleep(Duration::from_secs(7));
    }
    stop.store(true, Ordering::Release);
    clients.into_iter().for_each(|t| t.join().unwrap());
    drop(gateways);
    let runs = runs.lock().unwrap();
    let mut late = 0;
    let mut latest = 0.0f64;
    for run in runs.iter() {
        let Some((acknowledged, until)) = left.get(&run.endpoint) else { continue };
        if run.at > *until {
            let after = run.at.duration_since(*acknowledged).as_secs_f64();
            record.line(&format!("late request={} endpoint={} after_s={after:.3}", run.id, run.endpoint));
            late += 1;
            latest = latest.max(after);
        }
    }
    record.say(&format!(
        "requests run: {}; at an endpoint over 2 s after its removal was acknowledged, from a gateway that had reached the store \
         for over 3 s: {late}, the last one {latest:.2} s after it",
        runs.len(),
    ));
    let holds = late == 0;
    record.say(if holds { "DRAIN holds" } else { "DRAIN is broken" });
    Ok(holds)
}

fn send(
    client: usize,
    front: std::net::SocketAddr,
    stop: &AtomicBool,
    sent: &Mutex<HashMap<String, Instant>>,
    record: &crate::record::Record,
) {
    let mut connection = Client::new(front, Duration::from_secs(2));
    let mut n = 0;
    while !stop.load(Ordering::Acquire) {
        n += 1;
        let id = format!("charge-{client}-{n}");
        sent.lock().unwrap().insert(id.clone(), Instant::now());
        let call = Call {
            method: "PUT",
            host: "fee.example",
            path: "/fee/1",
            id: &id,
            deadline: Duration::from_millis(500),
            body: 100,
            headers: "",
        };
        let how = match connection.call(&call) {
            Answer::Response(r) => format!("status={}", r.status()),
            other => format!("{other:?}"),
        };
        record.line(&format!("ended request={id} {how}"));
        thread::sleep(Duration::from_millis(30));
    }
}
