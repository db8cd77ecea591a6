//! An endpoint ends and starts again under its id, at its address, for another service.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, OnRun, Run};
use crate::gateway::Gateway;
use crate::http::Message;
use crate::store::Store;
use crate::{BOUNDS, Scene, client, config};

/// Time from the end of an endpoint until its address has another one: `reuseAfterS` and a little more.
const REUSED_AFTER: Duration = Duration::from_millis(2_500);
/// Time after which requests to the endpoint's new service count: `drainS`, within which gateways know of it.
const KNOWN_AFTER: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const WATCHED_FOR: Duration = Duration::from_secs(20);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(40);

const ROUTES: [(&str, &str, &str, &str); 2] = [
    ("r-lookup", "/lookup/", "safe", "kalender"),
    ("r-charge", "/charge/", "unsafe", "betalning"),
];

/// Requests by which a service ran what it may not.
#[derive(Default)]
struct Foreign {
    is_counted: AtomicBool,
    count: AtomicU32,
    answers: AtomicU32,
}

pub fn run(scene: &Scene) -> Result<bool, String> {
    let record = &scene.record;
    let store = Store::start(&scene.ip(1));
    store.put("keyed.op", "config", &config(1, &ROUTES));
    let foreign = Arc::new(Foreign::default());
    let on_run = on_run(scene, &foreign);
    let start = |id: &str, service: &str, ip: u8, port: u16| {
        let address = format!("{}:{port}", scene.ip(ip)).parse().unwrap();
        Endpoint::start((id, service, "syd"), address, &store, &on_run, Duration::ZERO)
    };
    let kalender: Vec<_> = (0..4).map(|n| start(&format!("i-ka{n}"), "kalender", 20 + n, 8500)).collect();
    let _betalning: Vec<_> = (0..2).map(|n| start(&format!("i-be{n}"), "betalning", 30 + n, 8500)).collect();
    let mut gateways: Vec<_> = (0..2)
        .map(|n| Gateway::new((&format!("edge-syd-{n}"), "syd", scene.ip(10 + n)), store.address, &BOUNDS, &scene.dir))
        .collect();
    gateways.iter_mut().for_each(|g| g.start(true));
    if !gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        return Err("a gateway is not ready".into());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new((0, 0)));
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let front = gateways[n % 2].front();
            let (is_over, served, record) = (Arc::clone(&is_over), Arc::clone(&served), Arc::clone(record));
            let foreign = Arc::clone(&foreign);
            thread::spawn(move || {
                while !is_over.load(SeqCst) {
                    let id = client::attempt_id();
                    let answer = client::send(front, "GET", "/lookup/1", &id, Duration::from_millis(1_500));
                    let body = answer.as_ref().map(|a| String::from_utf8_lossy(&a.body).into_owned());
                    let status = answer.map_or(0, |a| a.status());
                    let mut served = served.lock().unwrap();
                    served.0 += 1;
                    served.1 += u32::from(status == 200);
                    drop(served);
                    let text = body.unwrap_or_default();
                    if status == 200 && text.contains(" of betalning ") {
                        foreign.answers.fetch_add(1, SeqCst);
                        record.say(&format!("client {id} of /lookup/ gets 200: {text}"));
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let ended = &kalender[0];
    record.say(&format!("endpoint {} of kalender ends", ended.id));
    ended.crash();
    thread::sleep(REUSED_AFTER);
    let id = match scene.has_trouble {
        true => ended.id.clone(),
        false => "i-new".to_owned(),
    };
    record.say(&format!("endpoint {id} of betalning starts at its address and writes its entry"));
    let _again = start(&id, "betalning", 20, 8500);
    thread::sleep(KNOWN_AFTER);
    foreign.is_counted.store(true, SeqCst);
    record.say("from here on all gateways have to know of it");
    let until = Instant::now() + WATCHED_FOR;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
    is_over.store(true, SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    gateways.iter_mut().for_each(Gateway::kill);
    let (sent, served) = *served.lock().unwrap();
    let (count, answers) = (foreign.count.load(SeqCst), foreign.answers.load(SeqCst));
    record.say(&format!(
        "sent={sent} served={served} run_by_a_service_without_the_route={count} answers_of_it={answers}"
    ));
    if served * 10 < sent * 9 {
        return Err("fewer than nine tenths were served".into());
    }
    Ok(count == 0)
}

/// Runs everything, and counts the requests that the route's service has not got.
fn on_run(scene: &Scene, foreign: &Arc<Foreign>) -> OnRun {
    let (record, foreign) = (Arc::clone(&scene.record), Arc::clone(foreign));
    Arc::new(move |endpoint: &Endpoint, req: &Message| {
        let route = ROUTES.iter().find(|(_, prefix, _, _)| req.target().starts_with(prefix));
        let is_foreign = route.is_none_or(|(_, _, _, service)| *service != endpoint.service);
        if is_foreign && foreign.is_counted.load(SeqCst) {
            foreign.count.fetch_add(1, SeqCst);
            let id = req.header("x-attempt-id").unwrap_or_default();
            record.say(&format!("{} of {} runs {} {id}", endpoint.id, endpoint.service, req.target()));
        }
        Run::Work(Duration::from_millis(20))
    })
}
