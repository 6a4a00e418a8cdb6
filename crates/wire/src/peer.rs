//! Messages between coordinators of different hosts.

use std::net::SocketAddr;

use berylknot_coordination::freshness::Status;
use berylknot_coordination::member;
use berylknot_coordination::quarantine;
use berylknot_coordination::quota::{Approval, Donation, Handover, Hold, Ticket};
use berylknot_coordination::reap::Report;
use berylknot_coordination::record::{Entry, Record};
use berylknot_coordination::snapshot::Snapshot;
use serde::{Deserialize, Serialize};

/// Path of the coordinator's interface for other coordinators.
pub const PATH: &str = "/v1/peer";

/// Request from another coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Request {
    /// Heartbeat of the sender.
    Heartbeat {
        /// State of the gateways on the sender's host.
        report: Report,
    },
    /// Asks for the receiver's knowledge of the log.
    AskWord {
        /// Address of the sender, as the platform's list of hosts may lag and lack it.
        address: SocketAddr,
    },
    /// Gossip about hosts and endpoints; answered with [`Response::Word`].
    Digest {
        /// Address of the sender, as the platform's list of hosts may lag and lack it.
        address: SocketAddr,
        /// State that the sender gossips.
        digest: member::Digest,
    },
    /// Asks for log entries that the sender lacks.
    Fetch {
        /// Offset of the first entry that the sender has not applied.
        next_offset: u64,
    },
    /// Asks the receiver to append records, since the sender cannot reach the log although its
    /// peers can.
    Relay {
        /// Records of one entry; the first is the batch id, which makes the append idempotent.
        records: Vec<Record>,
    },
    /// Reports strikes after an endpoint crash, or that a suspect request was cleared.
    Strike(quarantine::Event),
    /// Asks the owner of a customer's pool for tokens.
    AskGrant {
        /// Name of the customer.
        customer: String,
        /// Number of tokens asked for.
        tokens: u64,
    },
    /// Returns unused tokens of a hold to the owner of a customer's pool.
    ReturnTokens {
        /// Name of the customer.
        customer: String,
        /// Hold that the tokens were debited under.
        hold: Hold,
        /// Number of unused tokens; cumulative for the hold, so that a repeat is harmless.
        unused: u64,
    },
    /// Charges a customer's pool for prompt tokens beyond the estimate.
    Owe {
        /// Name of the customer.
        customer: String,
        /// Hold that the estimated tokens were debited under.
        hold: Hold,
        /// Number of tokens beyond the estimate; cumulative for the hold, so that a repeat is
        /// harmless.
        extra: u64,
    },
    /// Gives floor tokens to a customer's pool.
    Donate {
        /// Name of the customer.
        customer: String,
        /// Tokens that the sender has debited from its floor.
        donation: Donation,
    },
    /// Hands a customer's pool to the successor of its owner.
    Handover {
        /// Name of the customer.
        customer: String,
        /// Level of the pool when its former owner released it.
        handover: Handover,
    },
}

/// Answer to another coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Response {
    /// Acknowledgement without content.
    Done,
    /// The tokens are debited.
    Granted {
        /// Hold and number of the debited tokens.
        approval: Approval,
        /// Invitation to donate floor tokens, if the pool can take some.
        ticket: Option<Ticket>,
    },
    /// The pool does not have the tokens.
    RateExceeded {
        /// Time until the pool has refilled to that many tokens, in milliseconds; `None` when they
        /// exceed its cap.
        retry_after_ms: Option<u64>,
        /// Invitation to donate floor tokens, if the pool can take some.
        ticket: Option<Ticket>,
    },
    /// The receiver does not hold the customer's shard.
    NotOwner,
    /// The receiver's knowledge of the log.
    Word(Status),
    /// Entries from the requested offset on, in order.
    Entries(Vec<Entry>),
    /// Snapshot in place of entries that the receiver no longer keeps.
    Snapshot(Snapshot),
    /// The records were appended.
    Appended,
    /// The append was not confirmed; the records may be in the log.
    AppendLost,
}
