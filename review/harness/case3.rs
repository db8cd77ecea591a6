//! A request that crashes each endpoint comes again and again, in a deployment whose endpoints all belong to one
//! service. Between two of its rounds all endpoints are down for a moment.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::kit::*;

const HOST: &str = "dispatch.example";
const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const ENDPOINTS: usize = 2;
/// The request comes again this long after its last copies were answered.
const COMES_AGAIN_AFTER: Duration = Duration::from_millis(700);
/// `stabilityWindowS`.
const STABILITY: Duration = Duration::from_millis(3_000);
/// BUDGET: more than three retries.
const ALLOWED_RETRIES: usize = 3;

const CONFIG: &str = "{\"version\":3,\"routes\":{\
\"dispatch\":{\"host\":\"dispatch.example\",\"pathPrefix\":\"/dispatch/\",\"routeType\":\"unsafe\",\"timeoutS\":1.2,\
\"targetLatencyS\":0.25,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2},\
\"lookup\":{\"host\":\"dispatch.example\",\"pathPrefix\":\"/lookup/\",\"routeType\":\"safe\",\"timeoutS\":0.8,\
\"targetLatencyS\":0.3,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}},\
\"services\":{\"desk\":{\"healthPath\":\"/health\",\"maxConnections\":260}},\
\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

pub fn play(root: &std::path::Path, folder: &std::path::Path) -> std::io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = Temp::create()?;
    let store = Store::default();
    let at_store = store.serve(own_ip(1))?;
    let runs = Runs::default();
    let mut endpoints = Vec::new();
    for i in 0..ENDPOINTS {
        let mut endpoint = Endpoint::new(
            &format!("i-{i}"),
            "desk",
            ZONES[i % ZONES.len()],
            &store,
            &runs,
        );
        endpoint.work = ms(96);
        endpoint.deadly = Some("/lookup/deadly".to_owned());
        endpoint.down_for = ms(3_000);
        endpoints.push(endpoint.start(own_ip(10 + i as u8))?);
    }
    store.put("keyed.op", "config", CONFIG);
    let ips: Vec<_> = (0..2).map(|i| own_ip(30 + i)).collect();
    let ports = Ports::free(&ips)?;
    let mut gateways = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let mut gateway = Gateway::new(root, &temp.0, &format!("edge-{i}"), zone, ips[i], ports);
        gateway.write_settings(at_store.address, true)?;
        gateway.start(&temp.0)?;
        gateways.push(gateway);
    }
    if !wait_ready(&gateways, ms(15_000)) {
        record.say("the gateways did not become ready");
        return Err(std::io::ErrorKind::TimedOut.into());
    }
    record.say("all gateways are ready; clients begin");
    let start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(&'static str, Sent)>>> = Arc::default();
    let mut clients = Vec::new();
    for gateway in &gateways {
        for number in 0..4 {
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            let (name, front) = (gateway.name.clone(), gateway.front);
            clients.push(thread::spawn(move || {
                while !stop.load(SeqCst) {
                    let (kind, line, body) = match number % 2 {
                        0 => (
                            "lookup",
                            format!("GET /lookup/{}", attempt_id()),
                            Vec::new(),
                        ),
                        _ => (
                            "dispatch",
                            "POST /dispatch/now".to_owned(),
                            attempt_id().into_bytes(),
                        ),
                    };
                    let one = request((&name, front), &line, HOST, &body, ms(1_500));
                    sent.lock().unwrap().push((kind, one));
                    thread::sleep(ms(100));
                }
            }));
        }
    }
    sleep_until(start + ms(5_000));
    if has_trouble() {
        record.say("the deadly request comes, a copy at each machine, and again and again");
    }
    while start.elapsed() < ms(60_000) {
        if has_trouble() {
            let copies: Vec<_> = gateways
                .iter()
                .map(|g| (g.name.clone(), g.front))
                .map(|(name, front)| {
                    thread::spawn(move || {
                        request((&name, front), "GET /lookup/deadly", HOST, b"", ms(1_500))
                    })
                })
                .collect();
            for one in copies.into_iter().filter_map(|c| c.join().ok()) {
                sent.lock().unwrap().push(("deadly", one));
            }
        }
        thread::sleep(COMES_AGAIN_AFTER);
    }
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap_or(()));

    let runs = runs.0.lock().unwrap().clone();
    let ran: HashSet<_> = runs.iter().map(|r| r.attempt.clone()).collect();
    let mut outcomes: HashMap<(&str, u16), usize> = HashMap::new();
    let mut lost = 0;
    for (kind, one) in sent.lock().unwrap().iter() {
        let has_run = ran.contains(&one.attempt);
        record.line(&format!(
            "{} {kind} attempt={} sent={:.3} status={} at_endpoint={has_run}",
            one.gateway,
            one.attempt,
            record.seconds(one.at),
            one.status
        ));
        *outcomes.entry((*kind, one.status)).or_default() += 1;
        lost += usize::from(*kind == "dispatch" && one.status != 200 && has_run);
    }
    let mut outcomes: Vec<_> = outcomes.into_iter().collect();
    outcomes.sort();
    for ((kind, status), count) in outcomes {
        record.say(&format!("{kind}: status {status}: {count}"));
    }
    record.say(&format!(
        "dispatches that endpoints had begun and that ended without their answer: {lost}"
    ));
    let deadly: Vec<_> = runs
        .iter()
        .filter(|r| r.target == "/lookup/deadly")
        .collect();
    for run in &deadly {
        record.line(&format!(
            "deadly request crashes {} at {:.3}",
            run.endpoint,
            record.seconds(run.at)
        ));
    }
    let Some(third) = deadly.get(2) else {
        record.say(&format!(
            "the deadly request crashed endpoints {} times",
            deadly.len()
        ));
        return Ok(true);
    };
    let late = deadly
        .iter()
        .filter(|r| r.at > third.at + STABILITY)
        .count();
    record.say(&format!(
        "the deadly request crashed endpoints {} times, the third time at {:.3}; later than 3 s after that it reached \
         endpoints {late} times",
        deadly.len(),
        record.seconds(third.at)
    ));
    drop(gateways);
    Ok(late <= ALLOWED_RETRIES)
}
