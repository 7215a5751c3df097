//! The defaults of the settings section equal those of the code.

use kernel::{HashMap, Millis, Parts, Section};
use routing::{PolicyKind, RoutingConfig};

fn install(extra: &[(&str, &str)]) -> RoutingConfig {
    let all = kernel::plugins();
    let plugin = all.iter().find(|p| p.name == "routing").unwrap();
    let defaults = plugin
        .keys
        .iter()
        .filter_map(|k| Some((k.name, k.default?)));
    let texts: HashMap<_, _> = defaults
        .chain(extra.iter().copied())
        .map(|(key, text)| (key.into(), text.into()))
        .collect();
    let mut parts = Parts::default();
    assert!((plugin.install)(&Section::new(texts), &mut parts).is_empty());
    parts.take().unwrap()
}

#[test]
fn same_defaults() {
    let (read, base) = (install(&[]), RoutingConfig::default());
    assert_eq!(format!("{read:?}"), format!("{base:?}"));
}

#[test]
fn chosen_policy() {
    let cfg = install(&[("policy", "least"), ("extra_trip", "7ms")]);
    assert_eq!(cfg.policy, PolicyKind::Least);
    assert_eq!(cfg.extra_trip, Millis(7));
}
