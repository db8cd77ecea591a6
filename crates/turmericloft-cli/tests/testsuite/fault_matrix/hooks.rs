//! Arms faults at fault points and injects them when a gateway of the cell reaches the point.

use std::{
    collections::HashMap,
    panic,
    sync::{LazyLock, Once},
    thread,
};

use parking_lot::Mutex;
use strum::IntoEnumIterator;
use turmericloft::util::fault_point::FaultPoint;

/// What the task that reached a fault point does after the injection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFault {
    Continue,
    /// Unwinds the task, because its gateway was killed: nothing after the point is run.
    Unwind,
}

/// Injects a fault at the gateway with the given index.
pub type InjectFn = Box<dyn FnOnce(usize) -> AfterFault + Send>;

/// Faults that are armed, by number of the cell.
type Armed = HashMap<usize, Vec<(FaultPoint, InjectFn)>>;

static ARMED: LazyLock<Mutex<Armed>> = LazyLock::new(Mutex::default);

/// Name of a gateway's worker threads, from which [`on_point_reached`] reads the cell and gateway.
pub fn thread_name(cell: usize, gateway: usize) -> String {
    format!("cell {cell} {gateway}")
}

/// Arms a fault, which is injected the first time that a gateway of the cell reaches the point.
pub fn arm(cell: usize, point: FaultPoint, inject: InjectFn) {
    ARMED.lock().entry(cell).or_default().push((point, inject));
}

/// Removes the faults of a cell that were not injected, and returns their number.
pub fn disarm(cell: usize) -> usize {
    ARMED
        .lock()
        .remove(&cell)
        .map_or(0, |remaining| remaining.len())
}

/// Registers a callback at all fault points that injects armed faults.
pub fn install_callbacks() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        for point in FaultPoint::iter() {
            let name: &'static str = point.into();
            fail::cfg_callback(name, move || on_point_reached(point))
                .expect("the fault point accepts a callback");
        }
    });
}

fn on_point_reached(point: FaultPoint) {
    let thread = thread::current();
    let Some((cell, gateway)) = thread.name().and_then(parse_thread_name) else {
        return;
    };
    while let Some(inject) = take_armed_fault(cell, point) {
        if inject(gateway) == AfterFault::Unwind {
            panic::resume_unwind(Box::new("killed"));
        }
    }
}

fn take_armed_fault(cell: usize, point: FaultPoint) -> Option<InjectFn> {
    let mut armed = ARMED.lock();
    let in_cell = armed.get_mut(&cell)?;
    let index = in_cell.iter().position(|(p, _)| *p == point)?;
    Some(in_cell.swap_remove(index).1)
}

fn parse_thread_name(name: &str) -> Option<(usize, usize)> {
    let (cell, gateway) = name.strip_prefix("cell ")?.split_once(' ')?;
    Some((cell.parse().ok()?, gateway.parse().ok()?))
}
