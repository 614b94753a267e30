use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// A /24 of 127.0.0.0/8 that no other fleet of this machine uses at the same time.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackNet {
    high: u8,
    low: u8,
}

static NEXT: AtomicU32 = AtomicU32::new(0);

impl LoopbackNet {
    /// A net of its own, by process id and a counter.
    pub fn new() -> Self {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let number = std::process::id().wrapping_mul(31).wrapping_add(count) % (200 * 256);
        // 127.0.0.0/16 is left to other programs.
        let [high, low] = ((number + 256) as u16).to_be_bytes();
        LoopbackNet { high, low }
    }

    /// An address of the net.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.high, self.low, host)), port)
    }
}

impl Default for LoopbackNet {
    fn default() -> Self {
        LoopbackNet::new()
    }
}
