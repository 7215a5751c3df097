//! Tests of the platform stand-in and its faults through the platform client.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{SHORT, minion, tcp, until};
use kernel::{Millis, Offset};
use logstore::{AppendError, HttpPlatform, MinionRow, Platform, ReadError, Stream};
use standins::{PlatformConfig, PlatformStandin, Retention};
use wire::TcpConnect;

/// Timeout of the client's requests.
const TIMEOUT: Millis = Millis(1000);

async fn start(config: PlatformConfig) -> (PlatformStandin, HttpPlatform<TcpConnect>) {
    let standin = PlatformStandin::start(config).await.unwrap();
    let client = HttpPlatform::new(tcp(), standin.addr(), TIMEOUT);
    (standin, client)
}

async fn append(client: &HttpPlatform<TcpConnect>, n: u64) -> Result<Offset, AppendError> {
    client
        .append(Stream::Claims, Bytes::from(n.to_string()))
        .await
}

#[tokio::test]
async fn append_read() {
    let config = PlatformConfig {
        chunk: 2,
        ..PlatformConfig::default()
    };
    let (_standin, client) = start(config).await;
    for n in 0..3 {
        assert_eq!(append(&client, n).await, Ok(Offset(n)));
    }
    let chunk = client
        .read(Stream::Claims, Offset(0), Millis(0))
        .await
        .unwrap();
    let data: Vec<_> = chunk.records.iter().map(|r| r.data.as_str()).collect();
    assert_eq!((data, chunk.end), (vec!["0", "1"], Offset(3)));
    let chunk = client
        .read(Stream::Claims, Offset(2), Millis(0))
        .await
        .unwrap();
    assert_eq!(chunk.records[0].offset, Offset(2));
    let other = client
        .read(Stream::Sheet, Offset(0), Millis(0))
        .await
        .unwrap();
    assert_eq!(other.end, Offset(0));
}

#[tokio::test]
async fn long_poll() {
    let (_standin, client) = start(PlatformConfig::default()).await;
    let reader = client.clone();
    let read =
        tokio::spawn(async move { reader.read(Stream::Claims, Offset(0), Millis(20_000)).await });
    tokio::task::yield_now().await;
    append(&client, 5).await.unwrap();
    assert_eq!(read.await.unwrap().unwrap().records.len(), 1);
}

#[tokio::test]
async fn keeps_newest() {
    let config = PlatformConfig {
        retention: Retention::Records(2),
        ..PlatformConfig::default()
    };
    let (standin, client) = start(config).await;
    for n in 0..5 {
        append(&client, n).await.unwrap();
    }
    let chunk = client
        .read(Stream::Claims, Offset(0), Millis(0))
        .await
        .unwrap();
    assert_eq!((chunk.first, chunk.end), (Offset(3), Offset(5)));
    assert_eq!(chunk.records[0].offset, Offset(3));
    standin.trim(0);
    let chunk = client
        .read(Stream::Claims, Offset(0), Millis(0))
        .await
        .unwrap();
    assert_eq!(
        (chunk.first, chunk.end, chunk.records.len()),
        (Offset(5), Offset(5), 0)
    );
    assert_eq!(append(&client, 5).await, Ok(Offset(5)));
}

#[tokio::test]
async fn drops_old() {
    let retention = Retention::Age(Duration::ZERO);
    let (_standin, client) = start(PlatformConfig {
        retention,
        ..PlatformConfig::default()
    })
    .await;
    append(&client, 0).await.unwrap();
    let chunk = client
        .read(Stream::Claims, Offset(0), Millis(0))
        .await
        .unwrap();
    assert_eq!(chunk.first, Offset(1));
}

#[tokio::test]
async fn log_down() {
    let (standin, client) = start(PlatformConfig::default()).await;
    standin.down(true);
    assert_eq!(append(&client, 0).await, Err(AppendError::Refused));
    assert_eq!(append(&client, 1).await, Err(AppendError::Unknown));
    let result = client.read(Stream::Claims, Offset(0), Millis(0)).await;
    assert!(matches!(result, Err(ReadError::Status(503))));
    assert!(client.list().await.is_ok());
    standin.down(false);
    assert_eq!(append(&client, 2).await, Ok(Offset(0)));
}

#[tokio::test]
async fn log_slow() {
    let (standin, client) = start(PlatformConfig::default()).await;
    standin.slow(3 * TIMEOUT.duration());
    assert_eq!(append(&client, 0).await, Err(AppendError::Unknown));
    standin.slow(Duration::ZERO);
    assert_eq!(append(&client, 1).await, Ok(Offset(0)));
    // The append completes although its client has timed out.
    until(|| standin.records(Stream::Claims).len() == 2).await;
}

#[tokio::test]
async fn answers_lost() {
    let (standin, client) = start(PlatformConfig::default()).await;
    standin.lose_answers(true);
    assert_eq!(append(&client, 0).await, Err(AppendError::Unknown));
    standin.lose_answers(false);
    assert_eq!(append(&client, 1).await, Ok(Offset(1)));
}

async fn list_with_lag(lag: Duration) -> (Vec<MinionRow>, MinionRow) {
    let config = PlatformConfig {
        lag,
        ..PlatformConfig::default()
    };
    let (standin, client) = start(config).await;
    let (minion, _) = minion(8).await;
    standin.set(Default::default());
    standin.change(|l| l.minions.push(minion.row()));
    (client.list().await.unwrap().minions.clone(), minion.row())
}

#[tokio::test]
async fn list_lags() {
    let (rows, _) = list_with_lag(Duration::from_secs(3600)).await;
    assert_eq!(rows, []);
    let (rows, row) = list_with_lag(Duration::ZERO).await;
    assert_eq!(rows, [row]);
}

#[tokio::test]
async fn bad_requests() {
    let (standin, client) = start(PlatformConfig::default()).await;
    let bad = client
        .append(Stream::Claims, Bytes::from_static(&[0xff]))
        .await;
    assert_eq!(bad, Err(AppendError::Refused));
    for path in [
        "/v1/streams/x",
        "/v1/streams/claims?from=-1",
        "/v1/streams/claims?to=1",
    ] {
        let req = hyper::Request::get(path).header("host", "platform");
        let req = req.body(Default::default()).unwrap();
        let reply = tcp().call(standin.addr(), req, SHORT * 10).await.unwrap();
        assert!(reply.status.is_client_error(), "{path}");
    }
}

#[tokio::test]
async fn list_unchanged() {
    let config = PlatformConfig {
        lag: Duration::ZERO,
        ..PlatformConfig::default()
    };
    let (standin, client) = start(config).await;
    let (minion, _) = minion(8).await;
    standin.set(Default::default());
    standin.change(|list| list.minions.push(minion.row()));
    let first = client.list().await.unwrap();
    let second = client.list().await.unwrap();
    assert!(Arc::ptr_eq(&first, &second));

    standin.change(|list| list.minions.clear());
    let third = client.list().await.unwrap();
    assert!(third.minions.is_empty());
    assert!(!Arc::ptr_eq(&first, &third));

    // The list returns to its first state while the client has the second tag.
    standin.change(|list| list.minions.push(minion.row()));
    assert_eq!(client.list().await.unwrap(), first);
}
