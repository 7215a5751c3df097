//! The first jobs after a start wait for an owner of their VM's own domain.

mod common;

use common::{Site, config, eventually, free_port, job, model, serve};
use engine::{EngineConfig, Outcome};
use kernel::Millis;

const DOMAINS: [&str; 2] = ["nadi-b", "suva-a"];

fn vm_config(number: u8, port: u16, domain: &str) -> EngineConfig {
    EngineConfig {
        domain: domain.parse().unwrap(),
        domains: DOMAINS.map(|name| name.parse().unwrap()).to_vec(),
        ..config(number, port)
    }
}

/// Fails if the first owner after a loss of all VMs gets the jobs of all domains,
/// more than it has room and connections for, while theirs follow soon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn later_owner() {
    let infos = DOMAINS.into_iter().flat_map(|name| {
        (0..2).map(move |i| {
            let mut info = model::minion(&format!("{name}-{i}"), 32);
            info.domain = name.parse().unwrap();
            info
        })
    });
    let site = Site::of(infos);
    let port = free_port();
    let suva = serve(vm_config(1, port, "suva-a"), site.clone(), &site).await;
    eventually("suva-a owned", || suva.owns()).await;
    let mut cfg = vm_config(2, port, "nadi-b");
    cfg.ownership.listen_time = Millis(700);
    cfg.ownership.answer_time = Millis(700);
    let nadi = serve(cfg, site.clone(), &site).await;
    assert_eq!(nadi.submit(job(1, 2, 20)).await, Outcome::Completed);
    assert_eq!(site.starts_on("nadi"), 2);
    assert_eq!(site.starts_on("suva"), 0);
}
