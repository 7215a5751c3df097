//! The age of messages between VMs, which have no common clock
//! (docs/design/job-leases.md#age).

use kernel::{Incarnation, Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::peers::Peers;

/// Time after which a VM's clock that came with its heartbeat is too old to be
/// used. Clocks that differ by 2% drift apart by 100 ms meanwhile.
const MAX_READING_AGE: Millis = Millis(5_000);

/// Time at which a message was sent, or some time before it, on the receiver's
/// clock. The sender knows that clock from the receiver's last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentAt {
    /// The receiver's process, whose clock starts at zero.
    pub incarnation: Incarnation,
    /// Time on that clock.
    pub time: Timestamp,
}

/// Another VM's clock as read from a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// Time on the other VM's clock when it sent the heartbeat.
    pub time: Timestamp,
    /// Time on this VM's clock when the heartbeat arrived.
    pub arrived: Timestamp,
}

impl Peers {
    /// Returns the time of sending for a message to another VM that is sent now or
    /// later; `None` if the VM's clock is not known. The time is too early by the
    /// transit of the VM's heartbeat, never too late.
    pub fn sent_at(&self, to: std::net::SocketAddr, now: Timestamp) -> Option<SentAt> {
        let std::net::IpAddr::V4(ip) = to.ip() else {
            return None;
        };
        let peer = self.peers.get(&ip)?;
        let info = peer.info.as_ref()?;
        let reading = peer.clock?;
        let elapsed = now.since(reading.arrived);
        (elapsed < MAX_READING_AGE).then(|| SentAt {
            incarnation: info.incarnation,
            time: reading.time.after(elapsed),
        })
    }

    /// Returns this VM's clock for a VM that is to send a message at once.
    pub fn clock(&self, now: Timestamp) -> SentAt {
        SentAt {
            incarnation: self.me.incarnation,
            time: now,
        }
    }

    /// Returns the longest time that a message can have been on its way; `None` if
    /// its sender didn't know this process's clock.
    pub fn age(&self, sent: Option<SentAt>, now: Timestamp) -> Option<Millis> {
        let sent = sent.filter(|s| s.incarnation == self.me.incarnation)?;
        Some(now.since(sent.time))
    }
}
