//! Addresses of the other coordinators, refreshed from the platform's host list.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};

use super::Core;
use crate::platform::Platform;

/// Interval between reads of the host list.
pub(super) const INTERVAL: Duration = Duration::from_secs(2);

impl<P: Platform> Core<P> {
    /// Reads the host list and updates members and addresses.
    pub(super) fn refresh_hosts(&mut self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let list = async move { platform.hosts().await };
        context.spawn(list.into_actor(self).map(|listed, core, _| match listed {
            Ok(listed) => {
                core.update_members(&listed);
                for host in listed.hosts {
                    let Ok(address) = host.address.parse() else {
                        tracing::warn!(
                            host = %host.name,
                            "hosts: host list has a malformed address; ignoring it"
                        );
                        continue;
                    };
                    core.addresses.insert(host.name, address);
                }
            }
            Err(error) => tracing::warn!(
                %error,
                "hosts: host list could not be read; keeping the known addresses"
            ),
        }));
    }
}
