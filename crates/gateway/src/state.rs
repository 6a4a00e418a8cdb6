//! State that the gateway's handlers share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use berylknot_settings::key::Pepper;
use tokio::sync::watch;

use crate::configuration::Configuration;
use crate::control::{Control, Identity};
use crate::engine::http::Http;
use crate::metrics::Metrics;
use crate::options::Options;

/// State shared by all threads.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) options: Arc<Options>,
    pub(crate) identity: Identity,
    pub(crate) pepper: Pepper,
    pub(crate) configuration: watch::Receiver<Configuration>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) draining: Arc<AtomicBool>,
}

/// State of one thread.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) shared: Shared,
    pub(crate) control: Control,
    pub(crate) engine: Http,
    pub(crate) client: crate::service::Client,
}
