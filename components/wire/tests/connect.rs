//! Tests that new connections detect a dead peer.

use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpListener;
use wire::{Connect, TcpConnect};

#[tokio::test]
async fn keepalive_enabled() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let stream = TcpConnect.connect(addr).await.unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    assert_eq!(socket.tcp_keepalive_time().unwrap(), Duration::from_secs(1));
    assert_eq!(socket.tcp_keepalive_retries().unwrap(), 3);
    let unacked = socket.tcp_user_timeout().unwrap();
    assert_eq!(unacked, Some(Duration::from_secs(2)));
}
