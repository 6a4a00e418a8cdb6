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

/// Configuration in force; the default with version 0 stands for none.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    /// Position of the accepted proposal.
    pub(crate) version: Position,
    /// Merged settings as JSON text.
    pub(crate) document: Arc<str>,
    /// Validated settings.
    pub(crate) fleet: Arc<Fleet>,
}

/// Identity of this process towards gateways and peers.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Name of the host.
    pub(crate) host: String,
    /// Incarnation, unique to this process start.
    pub(crate) incarnation: Incarnation,
    /// Secret that authenticates frames within the deployment.
    pub(crate) secret: Secret,
}

/// Shared state of the HTTP handlers.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) identity: Identity,
    pub(crate) configuration: watch::Receiver<Configuration>,
    /// Readiness: set once this host has held a lease while all shards had owners, or in a log
    /// outage; cleared by a shutdown.
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) core: Addr<Core<Http>>,
    pub(crate) admission: Addr<Admission>,
    pub(crate) metrics: Arc<Metrics>,
    /// Whether a graceful shutdown has begun; new requests and claims are refused.
    pub(crate) shutting_down: Arc<AtomicBool>,
    pub(crate) work: Arc<Work>,
}
