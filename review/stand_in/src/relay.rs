//! A relay between two hosts, which can be cut: then it passes nothing on, in either direction.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

pub struct Relay {
    pub address: SocketAddr,
    cut: AtomicBool,
}

impl Relay {
    /// Starts a relay to `target` that listens on a free port of `ip`.
    pub fn start(ip: Ipv4Addr, target: SocketAddr) -> Arc<Relay> {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address is free");
        let address = listener.local_addr().expect("a listener has an address");
        let relay = Arc::new(Relay { address, cut: AtomicBool::new(false) });
        let accepting = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = accepting.clone();
                thread::spawn(move || relay.pass(stream, target));
            }
        });
        relay
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn wait_while_cut(&self) {
        while self.cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn pass(self: Arc<Self>, near: TcpStream, target: SocketAddr) {
        self.wait_while_cut();
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_end), Ok(far_end)) = (near.try_clone(), far.try_clone()) else { return };
        let forward = self.clone();
        thread::spawn(move || forward.copy(near_end, far));
        self.copy(far_end, near);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 << 10];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            self.wait_while_cut();
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        self.wait_while_cut();
        let _ = to.shutdown(Shutdown::Both);
    }
}
