//! State that the coordinator's actors and HTTP handlers share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use actix::Addr;
use berylknot_coordination::record::{Incarnation, Position};
use berylknot_settings::Fleet;
use berylknot_wire::Secret;
use tokio::sync::watch;

use crate::admission::Admission;
use crate::core::Core;
use crate::metrics::Metrics;
use crate::platform::Http;
use crate::work::Work;

/// The accepted configuration in checked form.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    /// Position of the accepted proposal.
    pub(crate) version: Position,
    /// Merged settings as JSON text.
    pub(crate) document: Arc<str>,
    /// Checked settings.
    pub(crate) fleet: Arc<Fleet>,
}

/// Identity of this process.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Name of the host.
    pub(crate) host: String,
    /// Number of this process start.
    pub(crate) incarnation: Incarnation,
    /// Secret of the deployment.
    pub(crate) secret: Secret,
}

/// What the HTTP handlers need.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) identity: Identity,
    pub(crate) configuration: watch::Receiver<Configuration>,
    /// Whether the host has had its first lease while all shards had owners.
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) core: Addr<Core<Http>>,
    pub(crate) admission: Addr<Admission>,
    pub(crate) metrics: Arc<Metrics>,
    /// Whether the host is shutting down and admits nothing.
    pub(crate) leaving: Arc<AtomicBool>,
    pub(crate) work: Arc<Work>,
}
