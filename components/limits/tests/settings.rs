//! The defaults of the settings section equal those of the code.

use kernel::{HashMap, Parts, Section};
use limits::LimitsConfig;

#[test]
fn same_defaults() {
    let all = kernel::plugins();
    let plugin = all.iter().find(|p| p.name == "limits").unwrap();
    let defaults = plugin
        .keys
        .iter()
        .filter_map(|k| Some((k.name, k.default?)));
    let texts: HashMap<_, _> = defaults.map(|(k, t)| (k.into(), t.into())).collect();
    let mut parts = Parts::default();
    assert!((plugin.install)(&Section::new(texts), &mut parts).is_empty());
    let read: LimitsConfig = parts.take().unwrap();
    assert_eq!(
        format!("{read:?}"),
        format!("{:?}", LimitsConfig::default())
    );
}
