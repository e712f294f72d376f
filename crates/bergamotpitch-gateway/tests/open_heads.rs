//! Slow heads at the ports beside the callers' one.

mod common;

use std::time::Duration;

use common::{run, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CONNECTIONS: usize = 300;

/// More than a port keeps open in a fleet of one instance.
const OPEN_MAX: usize = 80;

/// Guards against an instance that many slow heads at its metrics or readiness port make too large.
#[test]
fn slow_heads() {
    run(async {
        let (gateway, _) = start(&[]).await;
        for address in [gateway.options.ready_address, gateway.options.relay_addresses[0]] {
            let mut slow = Vec::new();
            for _ in 0..CONNECTIONS {
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\nx-pad: ").await.unwrap();
                slow.push(stream);
            }
            let mut probe = TcpStream::connect(address).await.unwrap();
            probe.write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
            let mut head = [0; 12];
            probe.read_exact(&mut head).await.unwrap();
            assert!(head.starts_with(b"HTTP/1.1 "), "{head:?}");
            let mut open = 0;
            for stream in &mut slow {
                let read = tokio::time::timeout(Duration::from_millis(1), stream.read(&mut head));
                open += usize::from(read.await.is_err());
            }
            assert!(open <= OPEN_MAX, "{open} of {CONNECTIONS} are open");
        }
    });
}

/// Guards against connections without a request that stay open for ever.
#[test]
fn idle_probe() {
    run(async {
        let (gateway, _) = start(&[]).await;
        let mut idle = TcpStream::connect(gateway.options.ready_address).await.unwrap();
        idle.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
        let mut rest = Vec::new();
        let ended = tokio::time::timeout(Duration::from_secs(12), idle.read_to_end(&mut rest));
        // Whatever the port answers to a head that never came whole, it closes the connection.
        let _ = ended.await.expect("the connection is still open");
    });
}
