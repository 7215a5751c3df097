//! A VM that can't read the store must get the configuration and the register from
//! another VM as soon as it hears of one, and not at its next periodic check.

mod common;

use common::{Site, config, eventually, free_port, serve};
use engine::{Engine, EngineConfig, Step};
use kernel::{Millis, Offset, Sequence};
use ownership::OwnershipConfig;

/// A configuration in which periodic checks are a minute apart.
fn rare_checks(number: u8, port: u16) -> EngineConfig {
    EngineConfig {
        ownership: OwnershipConfig {
            idle_interval: Millis(60_000),
            ..OwnershipConfig::default()
        },
        ..config(number, port)
    }
}

#[tokio::test]
async fn without_store() {
    let site = Site::new(&[32, 48]);
    let port = free_port();
    let a = serve(rare_checks(1, port), site.clone(), &site).await;
    let b = Engine::start(rare_checks(2, port), site.clone()).await;
    let b = b.unwrap();
    eventually("configuration from the other VM", || {
        b.configuration().is_some()
    })
    .await;
    eventually("register from the other VM", || {
        b.startup().has_reached(Step::Register)
    })
    .await;
    assert!(a.owns());
}

#[tokio::test]
async fn follows_without_owner() {
    // All VMs read the register while none of them owns anything, whatever their
    // rank.
    let port = free_port();
    let mut vms = Vec::new();
    for number in 1..=5 {
        let site = Site::new(&[32]);
        let engine = Engine::start(config(number, port), site).await.unwrap();
        vms.push(engine);
    }
    let others = || vms.iter().filter(|vm| !vm.follows_register()).count();
    assert_eq!(others(), 0);
    tokio::time::sleep(Millis(300).duration()).await;
    assert_eq!(others(), 0);
    // Later only the first candidates do.
    eventually("only candidates follow", || others() == 3).await;
}

/// Guards against an owner that the store turns away and that goes on with the
/// capacities that it read first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn register_passed_on() {
    let site = Site::new(&[32, 48]);
    let port = free_port();
    let a = serve(config(1, port), site.clone(), &site).await;
    eventually("shard taken", || a.owns()).await;
    let b = serve(config(2, port), site.clone(), &site).await;
    let mut later = site.infos();
    for info in &mut later {
        info.capacity.cpu.0 /= 2;
        info.sequence = Sequence(7);
    }
    b.register(later.clone());
    b.register_read(Offset(20));
    eventually("later entries", || {
        a.minions().is_some_and(|minions| *minions == later)
    })
    .await;
}
