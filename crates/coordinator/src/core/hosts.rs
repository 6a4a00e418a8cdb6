//! Addresses of the other coordinators, from the platform's host list.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};

use super::Core;
use crate::platform::Platform;

/// Time between two reads of the list.
pub(super) const INTERVAL: Duration = Duration::from_secs(2);

impl<P: Platform> Core<P> {
    /// Reads the list of hosts.
    pub(super) fn list_hosts(&mut self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let list = async move { platform.hosts().await };
        context.spawn(list.into_actor(self).map(|listed, core, _| match listed {
            Ok(listed) => {
                core.list_members(&listed);
                for host in listed.hosts {
                    let Ok(address) = host.address.parse() else {
                        tracing::warn!(host = %host.name, "hosts: address is malformed");
                        continue;
                    };
                    core.addresses.insert(host.name, address);
                }
            }
            Err(error) => tracing::warn!(%error, "hosts: list cannot be read"),
        }));
    }
}
