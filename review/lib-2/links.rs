//! Links: what stands between the routers and one engine, and can be cut. A cut is silent: bytes and ends of
//! connections are held up and arrive when it heals.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::routers::free_address;

#[derive(Clone)]
pub struct Link {
    /// Where routers reach the engine.
    pub address: SocketAddr,
    target: SocketAddr,
    listener: Arc<Mutex<Option<TcpListener>>>,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// A link to an engine's own address; it takes connections once it is open.
    pub fn new(target: SocketAddr) -> Link {
        let link = Link {
            address: free_address(),
            target,
            listener: Arc::default(),
            is_cut: Arc::default(),
        };
        let accepting = link.clone();
        thread::spawn(move || loop {
            let accepted = accepting.listener.lock().expect("a link").as_ref().map(TcpListener::accept);
            match accepted {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    let link = accepting.clone();
                    thread::spawn(move || link.pass(stream));
                }
                _ => thread::sleep(Duration::from_millis(1)),
            }
        });
        link
    }

    /// Takes connections, as the engine listens.
    pub fn open(&self) {
        let mut listener = self.listener.lock().expect("a link");
        if listener.is_none() {
            let opened = TcpListener::bind(self.address).expect("the link's address");
            opened.set_nonblocking(true).expect("a listener");
            *listener = Some(opened);
        }
    }

    /// Refuses connections, as the port of an engine that has ended does.
    pub fn refuse(&self) {
        drop(self.listener.lock().expect("a link").take());
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn wait_while_cut(&self) {
        while self.is_cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn pass(&self, router: TcpStream) {
        self.wait_while_cut();
        let Ok(engine) = TcpStream::connect(self.target) else { return };
        let _ = (router.set_nodelay(true), engine.set_nodelay(true));
        let (Ok(from_router), Ok(to_engine)) = (router.try_clone(), engine.try_clone()) else { return };
        let link = self.clone();
        thread::spawn(move || link.copy(from_router, to_engine));
        self.copy(engine, router);
    }

    /// Passes bytes on, and then the end.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = from.read(&mut buffer);
            self.wait_while_cut();
            match read {
                Ok(count) if 0 < count => {
                    if to.write_all(&buffer[..count]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
                _ => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
            }
        }
    }
}
