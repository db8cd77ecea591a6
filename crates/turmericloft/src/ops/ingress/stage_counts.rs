//! Numbers of connections by stage.

use std::fmt;

use strum::VariantArray;

use super::connection_stage::ConnectionStage;

/// Stages of all connections. Shown as the number in each stage.
#[derive(Debug)]
pub(super) struct StageCounts(pub(super) Vec<ConnectionStage>);

impl fmt::Display for StageCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connections={}", self.0.len())?;
        for stage in ConnectionStage::VARIANTS {
            let count = self.0.iter().filter(|other| *other == stage).count();
            write!(f, " {stage}={count}")?;
        }
        Ok(())
    }
}
