//! Gateways, operators and a log service in memory, under paused time.

use std::{
    collections::HashSet,
    sync::{Arc, Weak},
    time::Duration,
};

use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use strum::{Display, EnumIter};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{HostId, Name},
    ops::{
        self, PromoteError, PromoteOptions, PromotionOutcome,
        gateway::{ConfigPeers, ConfigSources, Gateway, follow_config, tell_state},
    },
    sources::log_service::{LogError, LogService},
    util::settings::GuardSettings,
};

use super::{
    documents::document,
    fake_log::{FakeLog, LogClient, answer_lost},
};

/// Time of each request to the log service, and of each answer.
pub const LATENCY: Duration = Duration::from_millis(1);
/// Time after which a passing fault is over.
const FAULT: Duration = Duration::from_secs(30);
/// A day, by which the clock is stepped back, in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// Answers that are lost in a row.
const LOST_ANSWERS: u32 = 3;

/// Steps of a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
pub enum Step {
    Checked,
    Appended,
    AnswerRead,
    Tailed,
    PassedOn,
    InForce,
    Acknowledged,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
pub enum Fault {
    LogDown,
    LogSlow,
    AnswerLost,
    RecordExpired,
    GatewayKilled,
    GatewayFrozen,
    GatewayStartedNew,
    PeersPartitioned,
    TwoOperators,
    OldRecordReplayed,
    ClockStepped,
}

/// Who uses the log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Client {
    Operator,
    Gateway(usize),
}

/// A version in force, with the slots that tell its document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    pub version: u64,
    pub slots: u32,
}

/// A gateway and all that it ever had in force.
pub struct Running {
    pub gateway: Arc<Gateway>,
    pub history: Arc<Mutex<Vec<Held>>>,
    pub alive: bool,
    stop: CancellationToken,
}

#[derive(Default)]
struct State {
    down: bool,
    slow: bool,
    lost_answers: u32,
    cut_off: HashSet<Client>,
    frozen: HashSet<Client>,
    partitioned: bool,
    clock_back_ms: u64,
    armed: Option<(Step, Fault)>,
    promotions: u32,
}

/// Everything.
pub struct World {
    pub log: FakeLog,
    state: Mutex<State>,
    pub gateways: Mutex<Vec<Running>>,
    pub rival: Mutex<Option<Result<PromotionOutcome, PromoteError>>>,
    own: Weak<Self>,
}

impl World {
    pub const STREAM: &str = "config.production";
    /// Slots of the document of the second operator.
    pub const RIVAL_SLOTS: u32 = 99;

    /// Starts gateways; the last one has no access to the log service.
    pub fn start(gateways: usize) -> Arc<Self> {
        let world = Arc::new_cyclic(|own| Self {
            log: FakeLog::default(),
            state: Mutex::default(),
            gateways: Mutex::default(),
            rival: Mutex::default(),
            own: Weak::clone(own),
        });
        let last = Client::Gateway(gateways - 1);
        world.state.lock().cut_off.insert(last);
        (0..gateways).for_each(|_| world.start_gateway());
        world
    }

    /// The next time the step is reached, the fault occurs.
    pub fn arm(&self, step: Step, fault: Fault) {
        self.state.lock().armed = Some((step, fault));
    }

    /// Whether the armed fault has occurred.
    pub fn has_occurred(&self) -> bool {
        self.state.lock().armed.is_none()
    }

    /// Tells that a step is reached.
    pub fn reached(&self, step: Step) {
        let fault = {
            let mut state = self.state.lock();
            match state.armed {
                Some((armed, fault)) if armed == step => {
                    state.armed = None;
                    fault
                }
                _ => return,
            }
        };
        self.inject(fault);
    }

    /// Ends all passing faults.
    pub fn heal(&self) {
        let mut state = self.state.lock();
        state.down = false;
        state.slow = false;
        state.lost_answers = 0;
        state.frozen.clear();
        state.partitioned = false;
    }

    pub fn is_slow(&self) -> bool {
        self.state.lock().slow
    }

    pub fn is_cut_off(&self, client: Client) -> bool {
        let state = self.state.lock();
        state.down || state.cut_off.contains(&client)
    }

    pub async fn unfrozen(&self, client: Client) {
        while self.state.lock().frozen.contains(&client) {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// The answer, unless it is lost.
    pub async fn answer<T>(&self, answer: T) -> Result<T, LogError> {
        sleep(LATENCY).await;
        let mut state = self.state.lock();
        if state.lost_answers == 0 {
            return Ok(answer);
        }
        state.lost_answers -= 1;
        Err(answer_lost())
    }

    pub fn now_ms(&self) -> u64 {
        2 * DAY_MS - self.state.lock().clock_back_ms
    }

    /// Ends all gateways.
    pub fn stop(&self) {
        self.gateways.lock().iter().for_each(|g| g.stop.cancel());
    }

    /// Tries a document and promotes it.
    pub async fn promote(
        &self,
        slots: u32,
        recover_above: Option<u64>,
    ) -> Result<PromotionOutcome, PromoteError> {
        let options = |environment: &str, number: u32| PromoteOptions {
            environment: Name::new(environment).unwrap(),
            author: Name::new("anna").unwrap(),
            document: document(slots),
            promotion_id: format!("{number:032x}"),
            settle_timeout: Duration::from_secs(10),
            recover_above,
        };
        let number = {
            let mut state = self.state.lock();
            state.promotions += 1;
            state.promotions
        };
        let log = self.client(Client::Operator);
        ops::trial(log.as_ref(), options("trial", number), self.now_ms()).await?;
        let trial = Name::new("trial").unwrap();
        let options = options("production", number);
        ops::promote(log.as_ref(), options, &trial, self.now_ms()).await
    }

    /// Finds out how a promotion ended.
    pub async fn settle(&self, promotion_id: &str) -> Result<PromotionOutcome, PromoteError> {
        let log = self.client(Client::Operator);
        ops::settle(
            log.as_ref(),
            &Name::new("production").unwrap(),
            promotion_id,
        )
        .await
    }

    fn client(&self, client: Client) -> Arc<dyn LogService> {
        Arc::new(LogClient {
            world: Weak::clone(&self.own),
            client,
        })
    }

    fn start_gateway(&self) {
        let mut gateways = self.gateways.lock();
        let index = gateways.len();
        let host = HostId {
            name: Name::new(&format!("gw-{index}")).unwrap(),
            incarnation: index as u64,
        };
        let gateway = Gateway::new(host, Name::new("a").unwrap(), &GuardSettings::default());
        let environment = Name::new("production").unwrap();
        let sources = ConfigSources {
            log: self.client(Client::Gateway(index)),
            peers: Some(Arc::new(FakePeers {
                world: Weak::clone(&self.own),
                index,
            })),
            environment: environment.clone(),
            seed: index as u64,
        };
        let stop = CancellationToken::new();
        let history = Arc::new(Mutex::new(Vec::new()));
        let record = record(
            Arc::clone(&gateway),
            Arc::clone(&history),
            Weak::clone(&self.own),
        );
        let zone = Name::new("a").unwrap();
        let log = Arc::clone(&sources.log);
        let tell = tell_state(Arc::clone(&gateway), log, environment, zone, stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(record));
        tokio::spawn(stop.clone().run_until_cancelled_owned(tell));
        tokio::spawn(follow_config(Arc::clone(&gateway), sources, stop.clone()));
        gateways.push(Running {
            gateway,
            history,
            alive: true,
            stop,
        });
    }

    fn inject(&self, fault: Fault) {
        let victim = Client::Gateway(0);
        match fault {
            Fault::LogDown => self.state.lock().down = true,
            Fault::LogSlow => self.state.lock().slow = true,
            Fault::AnswerLost => self.state.lock().lost_answers = LOST_ANSWERS,
            Fault::RecordExpired => self.log.expire(Self::STREAM),
            Fault::GatewayKilled => {
                let victim = &mut self.gateways.lock()[0];
                victim.alive = false;
                victim.stop.cancel();
            }
            Fault::GatewayFrozen => drop(self.state.lock().frozen.insert(victim)),
            Fault::GatewayStartedNew => self.start_gateway(),
            Fault::PeersPartitioned => self.state.lock().partitioned = true,
            Fault::TwoOperators => self.start_rival(),
            Fault::OldRecordReplayed => {
                if let Some(body) = self.log.oldest(Self::STREAM) {
                    self.log.append(Self::STREAM, body, self.now_ms());
                }
            }
            Fault::ClockStepped => self.state.lock().clock_back_ms = DAY_MS,
        }
        let own = Weak::clone(&self.own);
        tokio::spawn(async move {
            sleep(FAULT).await;
            if let Some(world) = own.upgrade() {
                world.heal();
            }
        });
    }

    fn start_rival(&self) {
        let own = Weak::clone(&self.own);
        tokio::spawn(async move {
            if let Some(world) = own.upgrade() {
                let end = world.promote(Self::RIVAL_SLOTS, None).await;
                *world.rival.lock() = Some(end);
            }
        });
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let state = self.state.lock();
        let frozen = |i: usize| state.frozen.contains(&Client::Gateway(i));
        let apart = state.partitioned && from % 2 != to % 2;
        from != to && !frozen(from) && !frozen(to) && !apart
    }
}

/// Notes each version that a gateway puts in force.
async fn record(gateway: Arc<Gateway>, history: Arc<Mutex<Vec<Held>>>, world: Weak<World>) {
    let mut version = gateway.config.watch_version();
    while version.changed().await.is_ok() {
        let Some(in_force) = gateway.in_force() else {
            continue;
        };
        history.lock().push(Held {
            version: in_force.environment.version(),
            slots: in_force.environment.document().services[0].endpoints[0].slots,
        });
        if let Some(world) = world.upgrade() {
            world.reached(Step::InForce);
        }
    }
}

/// The other gateways as one of them reaches them.
struct FakePeers {
    world: Weak<World>,
    index: usize,
}

impl FakePeers {
    fn newer(&self, have: u64) -> Option<Arc<Gateway>> {
        let world = self.world.upgrade()?;
        let gateways = world.gateways.lock();
        let mut others = gateways.iter().enumerate();
        let found = others.find(|(i, other)| {
            let newer = other.gateway.config.version() > have;
            newer && other.alive && world.reaches(self.index, *i)
        });
        found.map(|(_, other)| Arc::clone(&other.gateway))
    }
}

impl ConfigPeers for FakePeers {
    fn have_newer(&self, have: u64) -> bool {
        self.newer(have).is_some()
    }

    fn fetch_newer(&self, have: u64) -> BoxFuture<'_, Option<Vec<u8>>> {
        Box::pin(async move {
            let bytes = self.newer(have)?.config.newer_than(have)?;
            self.world.upgrade()?.reached(Step::PassedOn);
            Some(bytes)
        })
    }

    fn tell_newer(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
