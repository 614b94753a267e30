use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// A /24 network of 127.0.0.0/8, chosen so that concurrent fleets on a machine do not collide.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackNet {
    high: u8,
    low: u8,
}

static NEXT_NET: AtomicU32 = AtomicU32::new(0);

impl LoopbackNet {
    /// Chooses a network by the process id and a counter.
    pub fn new() -> Self {
        let count = NEXT_NET.fetch_add(1, Ordering::Relaxed);
        let number = std::process::id().wrapping_mul(31).wrapping_add(count) % (200 * 256);
        // 127.0.0.0/16 stays free for other programs.
        let [high, low] = ((number + 256) as u16).to_be_bytes();
        LoopbackNet { high, low }
    }

    /// Returns an address of the network.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.high, self.low, host)), port)
    }
}

impl Default for LoopbackNet {
    fn default() -> Self {
        LoopbackNet::new()
    }
}
