//! Faults armed at points of the gateways' paths.

use std::{
    collections::HashMap,
    panic,
    sync::{LazyLock, Once},
    thread,
};

use parking_lot::Mutex;
use strum::IntoEnumIterator;
use turmericloft::util::fault_point::FaultPoint;

/// What the thread that reached a point does after the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    GoOn,
    /// The process is dead: nothing after the point happens.
    Die,
}

/// Injects a fault on the gateway with this number.
pub type Inject = Box<dyn FnOnce(usize) -> Then + Send>;

type Armed = HashMap<usize, Vec<(FaultPoint, Inject)>>;

static ARMED: LazyLock<Mutex<Armed>> = LazyLock::new(Mutex::default);

/// Name of the threads of a gateway, by which a point knows where it was reached.
pub fn thread_name(cell: usize, gateway: usize) -> String {
    format!("cell {cell} {gateway}")
}

/// Arms a fault at a point; it is injected once.
pub fn arm(cell: usize, point: FaultPoint, inject: Inject) {
    ARMED.lock().entry(cell).or_default().push((point, inject));
}

/// Takes back what was armed and not injected; gives how many that were.
pub fn disarm(cell: usize) -> usize {
    ARMED.lock().remove(&cell).map_or(0, |left| left.len())
}

/// Makes all points look for armed faults.
pub fn install() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        for point in FaultPoint::iter() {
            let name: &'static str = point.into();
            fail::cfg_callback(name, move || reached(point)).expect("the point can be armed");
        }
    });
}

fn reached(point: FaultPoint) {
    let thread = thread::current();
    let Some((cell, gateway)) = thread.name().and_then(parse) else {
        return;
    };
    while let Some(inject) = take(cell, point) {
        if inject(gateway) == Then::Die {
            panic::resume_unwind(Box::new("killed"));
        }
    }
}

fn take(cell: usize, point: FaultPoint) -> Option<Inject> {
    let mut armed = ARMED.lock();
    let here = armed.get_mut(&cell)?;
    let at = here.iter().position(|(p, _)| *p == point)?;
    Some(here.swap_remove(at).1)
}

fn parse(name: &str) -> Option<(usize, usize)> {
    let (cell, gateway) = name.strip_prefix("cell ")?.split_once(' ')?;
    Some((cell.parse().ok()?, gateway.parse().ok()?))
}
