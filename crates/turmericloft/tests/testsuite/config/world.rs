//! Simulated gateways, operators and log service, under paused time.

use std::{
    collections::HashSet,
    sync::{Arc, Weak},
    time::Duration,
};

use parking_lot::Mutex;
use strum::{Display, EnumIter};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use turmericloft::{
    core::{HostId, Name},
    ops::{
        self, PromoteError, PromoteOptions, PromotionOutcome,
        gateway::{ConfigSources, Gateway, follow_config, publish_state},
    },
    sources::log_service::{LogError, LogService},
    util::settings::GuardSettings,
};

use super::{
    documents::document,
    fake_log::{FakeLog, LogClient, response_lost},
    fake_peers::FakePeers,
};

/// Latency of each request to the log service, and of each response.
pub const LATENCY: Duration = Duration::from_millis(1);
/// Duration of a temporary fault.
const FAULT_DURATION: Duration = Duration::from_secs(30);
/// Step of the clock back, in milliseconds: one day.
const DAY_MS: u64 = 86_400_000;
/// Number of consecutive responses that are lost.
const LOST_RESPONSES: u32 = 3;

/// Steps of a promotion at which a fault can occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
pub enum Step {
    Checked,
    Appended,
    ResponseRead,
    ReadByGateway,
    SentToPeer,
    Active,
    Acknowledged,
}

/// Faults that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
pub enum Fault {
    LogUnavailable,
    LogSlow,
    ResponseLost,
    RecordExpired,
    GatewayKilled,
    GatewayFrozen,
    GatewayAdded,
    PeersPartitioned,
    TwoOperators,
    OldRecordReplayed,
    ClockStepped,
}

/// Clients of the log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Client {
    Operator,
    Gateway(usize),
}

/// An active version, with the slots that identify its document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveVersion {
    pub version: u64,
    pub slots: u32,
}

/// A gateway with all versions that it ever had active.
pub struct GatewayHandle {
    pub gateway: Arc<Gateway>,
    pub history: Arc<Mutex<Vec<ActiveVersion>>>,
    pub alive: bool,
    stop: CancellationToken,
}

#[derive(Default)]
struct State {
    unavailable: bool,
    slow: bool,
    lost_responses: u32,
    cut_off: HashSet<Client>,
    frozen: HashSet<Client>,
    partitioned: bool,
    clock_back_ms: u64,
    armed: Option<(Step, Fault)>,
    promotions: u32,
}

/// The whole simulation.
pub struct World {
    pub log: FakeLog,
    state: Mutex<State>,
    pub gateways: Mutex<Vec<GatewayHandle>>,
    pub second_promotion: Mutex<Option<Result<PromotionOutcome, PromoteError>>>,
    weak_self: Weak<Self>,
}

impl World {
    pub const STREAM: &str = "config.production";
    /// Slots in the document of the second operator.
    pub const SECOND_OPERATOR_SLOTS: u32 = 99;

    /// Starts gateways; the last one has no access to the log service.
    pub fn start(gateways: usize) -> Arc<Self> {
        let world = Arc::new_cyclic(|weak_self| Self {
            log: FakeLog::default(),
            state: Mutex::default(),
            gateways: Mutex::default(),
            second_promotion: Mutex::default(),
            weak_self: Weak::clone(weak_self),
        });
        let last = Client::Gateway(gateways - 1);
        world.state.lock().cut_off.insert(last);
        (0..gateways).for_each(|_| world.start_gateway());
        world
    }

    /// Injects the fault the next time that the step is reached.
    pub fn arm(&self, step: Step, fault: Fault) {
        self.state.lock().armed = Some((step, fault));
    }

    /// Whether the armed fault has occurred.
    pub fn has_occurred(&self) -> bool {
        self.state.lock().armed.is_none()
    }

    /// Records that a step is reached, and injects the fault that is armed for it.
    pub fn on_step(&self, step: Step) {
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

    /// Ends all temporary faults.
    pub fn end_faults(&self) {
        let mut state = self.state.lock();
        state.unavailable = false;
        state.slow = false;
        state.lost_responses = 0;
        state.frozen.clear();
        state.partitioned = false;
    }

    pub fn is_slow(&self) -> bool {
        self.state.lock().slow
    }

    pub fn is_cut_off(&self, client: Client) -> bool {
        let state = self.state.lock();
        state.unavailable || state.cut_off.contains(&client)
    }

    pub async fn wait_until_unfrozen(&self, client: Client) {
        while self.state.lock().frozen.contains(&client) {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the response, unless it is lost.
    pub async fn respond<T>(&self, response: T) -> Result<T, LogError> {
        sleep(LATENCY).await;
        let mut state = self.state.lock();
        if state.lost_responses == 0 {
            return Ok(response);
        }
        state.lost_responses -= 1;
        Err(response_lost())
    }

    pub fn now_ms(&self) -> u64 {
        2 * DAY_MS - self.state.lock().clock_back_ms
    }

    /// Stops all gateways.
    pub fn stop(&self) {
        self.gateways.lock().iter().for_each(|g| g.stop.cancel());
    }

    /// Tries out a document and promotes it.
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

    /// Determines the result of an earlier promotion.
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
            world: Weak::clone(&self.weak_self),
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
                world: Weak::clone(&self.weak_self),
                index,
            })),
            environment: environment.clone(),
            seed: index as u64,
        };
        let stop = CancellationToken::new();
        let history = Arc::new(Mutex::new(Vec::new()));
        let record = record_versions(
            Arc::clone(&gateway),
            Arc::clone(&history),
            Weak::clone(&self.weak_self),
        );
        let zone = Name::new("a").unwrap();
        let log = Arc::clone(&sources.log);
        let tell = publish_state(Arc::clone(&gateway), log, environment, zone, stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(record));
        tokio::spawn(stop.clone().run_until_cancelled_owned(tell));
        tokio::spawn(follow_config(Arc::clone(&gateway), sources, stop.clone()));
        gateways.push(GatewayHandle {
            gateway,
            history,
            alive: true,
            stop,
        });
    }

    fn inject(&self, fault: Fault) {
        let target = Client::Gateway(0);
        match fault {
            Fault::LogUnavailable => self.state.lock().unavailable = true,
            Fault::LogSlow => self.state.lock().slow = true,
            Fault::ResponseLost => self.state.lock().lost_responses = LOST_RESPONSES,
            Fault::RecordExpired => self.log.expire(Self::STREAM),
            Fault::GatewayKilled => {
                let target = &mut self.gateways.lock()[0];
                target.alive = false;
                target.stop.cancel();
            }
            Fault::GatewayFrozen => drop(self.state.lock().frozen.insert(target)),
            Fault::GatewayAdded => self.start_gateway(),
            Fault::PeersPartitioned => self.state.lock().partitioned = true,
            Fault::TwoOperators => self.start_second_operator(),
            Fault::OldRecordReplayed => {
                if let Some(body) = self.log.oldest(Self::STREAM) {
                    self.log.append(Self::STREAM, body, self.now_ms());
                }
            }
            Fault::ClockStepped => self.state.lock().clock_back_ms = DAY_MS,
        }
        let weak_self = Weak::clone(&self.weak_self);
        tokio::spawn(async move {
            sleep(FAULT_DURATION).await;
            if let Some(world) = weak_self.upgrade() {
                world.end_faults();
            }
        });
    }

    fn start_second_operator(&self) {
        let weak_self = Weak::clone(&self.weak_self);
        tokio::spawn(async move {
            if let Some(world) = weak_self.upgrade() {
                let result = world.promote(Self::SECOND_OPERATOR_SLOTS, None).await;
                *world.second_promotion.lock() = Some(result);
            }
        });
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        let state = self.state.lock();
        let frozen = |i: usize| state.frozen.contains(&Client::Gateway(i));
        let separated = state.partitioned && from % 2 != to % 2;
        from != to && !frozen(from) && !frozen(to) && !separated
    }
}

/// Records each version that becomes active on a gateway.
async fn record_versions(
    gateway: Arc<Gateway>,
    history: Arc<Mutex<Vec<ActiveVersion>>>,
    world: Weak<World>,
) {
    let mut version = gateway.config.watch_version();
    while version.changed().await.is_ok() {
        let Some(active) = gateway.active_environment() else {
            continue;
        };
        history.lock().push(ActiveVersion {
            version: active.environment.version(),
            slots: active.environment.document().services[0].endpoints[0].slots,
        });
        if let Some(world) = world.upgrade() {
            world.on_step(Step::Active);
        }
    }
}
