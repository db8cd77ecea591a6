//! The memory that connections and messages of one process take up, in one account.
//!
//! Load pattern: clients that the operators do not control open many connections, or send many large bodies at once, whole or short of
//! their end. A bound on each of them does not bound their sum, so all take from one account; who takes no part in the
//! crowd keeps a reserve.

mod account;
mod charge;
mod class;
mod limits;
mod reclaim;

pub use self::{
    account::MemoryAccount,
    charge::Charge,
    class::MemoryClass,
    limits::{MemoryLimits, MemoryUse},
    reclaim::{Activity, ActivityKind, STALL_TIME, choose_for_connection, choose_for_memory},
};

/// What an open connection takes up without the bodies of its messages, in bytes: its state, the buffers of this process and
/// of the kernel.
pub const CONNECTION_BYTES: usize = 32 << 10;
/// Part of each message that may take from the reserve, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;
