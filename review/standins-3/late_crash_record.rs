//! A write of what crashes endpoints gets no answer and is executed late, behind later writes. Then the gateways are
//! stopped and started in turn.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{Endpoint, OnRun, Run};
use crate::gateway::Gateway;
use crate::http::Message;
use crate::store::Store;
use crate::{BOUNDS, Scene, client, config};

/// Topic in which zones tell each other of crashes.
const CRASHES: &str = "keyed.crashes";
/// Delay of the write whose answer is lost; a page says "1 to 6 s".
const EXECUTED_AFTER: Duration = Duration::from_millis(5_500);
/// Time from the end of an endpoint until one is back at its address.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// `stabilityWindowS`, and a little more.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_500);
/// `graceS`.
const GRACE: Duration = Duration::from_secs(6);
/// Most retries that may arrive after that.
const MAX_RETRIES: usize = 3;
/// Copies that are sent after the restarts, and the pause between two.
const COPIES: usize = 40;
const COPY_PAUSE: Duration = Duration::from_millis(50);
const POISON: &str = "/lookup/poison";
const BROKEN_OFF: &str = "/charge/1";

const ROUTES: [(&str, &str, &str, &str); 2] =
    [("r-lookup", "/lookup/", "safe", "kalender"), ("r-charge", "/charge/", "unsafe", "kalender")];

struct Fleet {
    endpoints: Mutex<Vec<Arc<Endpoint>>>,
    store: Arc<Store>,
    on_run: OnRun,
    is_over: AtomicBool,
}

impl Fleet {
    fn start(&self, id: &str, ip: String, number: u8) {
        let address = format!("{ip}:8500").parse().unwrap();
        let of = (id, "kalender", zone_of(number));
        let endpoint = Endpoint::start(of, address, &self.store, &self.on_run, Duration::ZERO);
        self.endpoints.lock().unwrap().push(endpoint);
    }

    /// Brings endpoints that have crashed back, with new ids.
    fn bring_back(&self, scene: &Scene, count: u8) {
        let mut down: Vec<(u8, Instant)> = Vec::new();
        let mut incarnation = 0;
        while !self.is_over.load(SeqCst) {
            for number in 0..count {
                let ip = scene.ip(20 + number);
                let endpoints = self.endpoints.lock().unwrap();
                let is_up = endpoints.iter().any(|e| !e.has_ended() && e.address.ip().to_string() == ip);
                drop(endpoints);
                if is_up || down.iter().any(|(n, _)| *n == number) {
                    continue;
                }
                down.push((number, Instant::now() + BACK_AFTER));
            }
            let (back, still): (Vec<_>, Vec<_>) = down.into_iter().partition(|(_, at)| *at <= Instant::now());
            down = still;
            for (number, _) in back {
                incarnation += 1;
                self.start(&format!("i-ka{number}-{incarnation}"), scene.ip(20 + number), number);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

pub fn run(scene: &Scene) -> Result<bool, String> {
    let record = &scene.record;
    let store = Store::start(&scene.ip(1));
    store.put("keyed.op", "config", &config(1, &ROUTES));
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let fleet = Arc::new(Fleet {
        endpoints: Mutex::default(),
        store: Arc::clone(&store),
        on_run: on_run(scene, &arrivals),
        is_over: AtomicBool::new(false),
    });
    let count = 14;
    (0..count).for_each(|n| fleet.start(&format!("i-ka{n}"), scene.ip(20 + n), n));
    let mut gateways: Vec<_> = (0..3)
        .map(|n| {
            let name = format!("edge-{n}");
            Gateway::new((&name, zone_of(n), scene.ip(10 + n)), store.address, &BOUNDS, &scene.dir)
        })
        .collect();
    gateways.iter_mut().for_each(|g| g.start(true));
    if !gateways.iter().all(|g| g.wait_until_ready(Duration::from_secs(15))) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let end = thread::scope(|scope| {
        scope.spawn(|| fleet.bring_back(scene, count));
        let end = play(scene, &store, &mut gateways, &arrivals);
        fleet.is_over.store(true, SeqCst);
        end
    });
    gateways.iter_mut().for_each(Gateway::kill);
    let late = end?;
    record.say(&format!("crashes={} retries_after_the_restarts={late}", arrivals.lock().unwrap().len()));
    Ok(late <= MAX_RETRIES)
}

/// Returns how often the request reached endpoints after the gateways were in touch again.
fn play(
    scene: &Scene,
    store: &Arc<Store>,
    gateways: &mut [Gateway],
    arrivals: &Arc<Mutex<Vec<Instant>>>,
) -> Result<usize, String> {
    let record = &scene.record;
    let lost_at = Arc::new(Mutex::new(None));
    if scene.has_trouble {
        lose_first_write(scene, store, &lost_at);
    }
    send(scene, &gateways[0], "POST", BROKEN_OFF);
    let until = Instant::now() + Duration::from_secs(4);
    while scene.has_trouble && lost_at.lock().unwrap().is_none() {
        if Instant::now() > until {
            return Err("no write of crashes was seen".into());
        }
        thread::sleep(Duration::from_millis(10));
    }
    let lost_at = lost_at.lock().unwrap().unwrap_or_else(Instant::now);
    while arrivals.lock().unwrap().len() < 3 {
        if lost_at.elapsed() > Duration::from_secs(4) {
            return Err("the request has not crashed three endpoints in time".into());
        }
        send(scene, &gateways[0], "GET", POISON);
        thread::sleep(Duration::from_millis(200));
    }
    record.say("the request has crashed three endpoints");
    let executed_at = lost_at + EXECUTED_AFTER + Duration::from_secs(1);
    thread::sleep(executed_at.saturating_duration_since(Instant::now()));
    let before = arrivals.lock().unwrap().len();
    gateways.iter().for_each(|gateway| send(scene, gateway, "GET", POISON));
    if arrivals.lock().unwrap().len() > before {
        return Err("a gateway did not know of the crashes".into());
    }
    for gateway in gateways.iter_mut() {
        record.say(&format!("{} is stopped", gateway.name));
        gateway.terminate(GRACE);
        thread::sleep(Duration::from_millis(300));
        gateway.start(false);
        if !gateway.wait_until_ready(Duration::from_secs(10)) {
            return Err("a gateway is not ready again".into());
        }
        record.say(&format!("{} is ready again", gateway.name));
    }
    thread::sleep(STABILITY_WINDOW);
    record.say("all gateways are in touch");
    let before = arrivals.lock().unwrap().len();
    thread::scope(|scope| {
        for number in 0..COPIES {
            let gateway = &gateways[number % 3];
            scope.spawn(|| send(scene, gateway, "GET", POISON));
            thread::sleep(COPY_PAUSE);
        }
    });
    Ok(arrivals.lock().unwrap().len() - before)
}

/// Loses the answer of the first write of crashes, which is executed late.
fn lose_first_write(scene: &Scene, store: &Arc<Store>, lost_at: &Arc<Mutex<Option<Instant>>>) {
    let (record, lost_at) = (Arc::clone(&scene.record), Arc::clone(lost_at));
    store.set_on_write(Box::new(move |topic, body| {
        if topic != CRASHES {
            return None;
        }
        let mut lost_at = lost_at.lock().unwrap();
        if lost_at.is_some() {
            record.say(&format!("the store answers a write of crashes, {} bytes", body.len()));
            return None;
        }
        *lost_at = Some(Instant::now());
        let ms = EXECUTED_AFTER.as_millis();
        record.say(&format!("the store loses the answer of a write of crashes and executes it {ms} ms later"));
        Some(EXECUTED_AFTER)
    }));
}

fn send(scene: &Scene, gateway: &Gateway, method: &str, path: &str) {
    let id = client::attempt_id();
    let answer = client::send(gateway.front(), method, path, &id, Duration::from_millis(1_500));
    let status = answer.map_or(0, |a| a.status());
    scene.record.say(&format!("{method} {path} {id} at {}: answer {status}", gateway.name));
}

fn zone_of(number: u8) -> &'static str {
    ["syd", "mitt", "norr"][usize::from(number % 3)]
}

/// Crashes for the request that crashes endpoints, and once for a sound one, whose endpoint ends for another reason.
fn on_run(scene: &Scene, arrivals: &Arc<Mutex<Vec<Instant>>>) -> OnRun {
    let (record, arrivals) = (Arc::clone(&scene.record), Arc::clone(arrivals));
    let has_broken_off = AtomicBool::new(false);
    Arc::new(move |endpoint: &Endpoint, req: &Message| {
        let id = req.header("x-attempt-id").unwrap_or_default();
        if req.target() == BROKEN_OFF && !has_broken_off.swap(true, SeqCst) {
            record.say(&format!("{} ends while it runs {BROKEN_OFF} {id}", endpoint.id));
            return Run::Crash;
        }
        if req.target() != POISON {
            return Run::Work(Duration::from_millis(20));
        }
        record.say(&format!("{} begins to run {POISON} {id} and crashes", endpoint.id));
        arrivals.lock().unwrap().push(Instant::now());
        Run::Crash
    })
}
