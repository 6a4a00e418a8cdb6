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

/// Message of another coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Request {
    /// Tells that the sender lives.
    Heartbeat {
        /// The gateways of the sender's host.
        report: Report,
    },
    /// Asks what the receiver knows about the log.
    AskWord {
        /// Address of the sender, which the platform's late list may not name yet.
        address: SocketAddr,
    },
    /// Tells what the sender knows about hosts and endpoints; the answer is a word.
    Digest {
        /// Address of the sender, which the platform's late list may not name yet.
        address: SocketAddr,
        /// The knowledge.
        digest: member::Digest,
    },
    /// Asks for entries of the log that the sender lacks.
    Fetch {
        /// Offset of the first entry that the sender has not applied.
        next_offset: u64,
    },
    /// Appends records for a host that alone has lost the log.
    Relay {
        /// Records of one entry, the first of which names the batch.
        records: Vec<Record>,
    },
    /// Tells of a strike, or that one was cleared.
    Strike(quarantine::Event),
    /// Asks the owner of a customer's pool for tokens.
    AskGrant {
        /// Name of the customer.
        customer: String,
        /// Number of tokens.
        tokens: u64,
    },
    /// Returns unused tokens of a hold to the owner of a customer's pool.
    ReturnTokens {
        /// Name of the customer.
        customer: String,
        /// The hold.
        hold: Hold,
        /// Number of unused tokens, as a total for the hold.
        unused: u64,
    },
    /// Charges tokens that a prompt used beyond its estimate.
    Owe {
        /// Name of the customer.
        customer: String,
        /// The hold.
        hold: Hold,
        /// Number of tokens, as a total for the hold.
        extra: u64,
    },
    /// Gives floor tokens to a customer's pool.
    Donate {
        /// Name of the customer.
        customer: String,
        /// The debited tokens.
        donation: Donation,
    },
    /// Hands a customer's pool to the successor of its owner.
    Handover {
        /// Name of the customer.
        customer: String,
        /// Level of the pool.
        handover: Handover,
    },
}

/// Answer to another coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Response {
    /// The message was received.
    Done,
    /// The tokens are debited.
    Granted {
        /// Name and amount of the debited tokens.
        approval: Approval,
        /// Invitation to donate floor tokens, if the pool can take some.
        ticket: Option<Ticket>,
    },
    /// The pool does not have the tokens.
    RateExceeded {
        /// Time until it has them, in milliseconds; `None` when the amount exceeds its cap.
        retry_after_ms: Option<u64>,
        /// Invitation to donate floor tokens, if the pool can take some.
        ticket: Option<Ticket>,
    },
    /// The receiver does not hold the customer's shard.
    NotOwner,
    /// What the host knows about the log.
    Word(Status),
    /// Entries from the asked offset on, in order.
    Entries(Vec<Entry>),
    /// State that replaces entries which the host no longer keeps.
    Snapshot(Snapshot),
    /// The records were appended.
    Appended,
    /// The records may have been appended.
    AppendLost,
}
