//! Mechanisms of the placement policy that can be switched off.

use std::collections::BTreeSet;

use plumgate::gateway::{PolicyPart, PolicySwitches};

#[test]
fn each_mechanism_has_its_own_name() {
    let names: BTreeSet<&str> = PolicyPart::all().map(PolicyPart::as_str).collect();
    assert_eq!(names.len(), PolicyPart::all().count());
    for part in PolicyPart::all() {
        assert_eq!(part.as_str().parse(), Ok(part));
    }
    assert!("no-such-part".parse::<PolicyPart>().is_err());
}

#[test]
fn switching_one_mechanism_off_leaves_the_others_on() {
    for part in PolicyPart::all() {
        let switches = PolicySwitches::new().without(part);
        assert!(!switches.has(part));
        assert!(
            PolicyPart::all()
                .filter(|other| *other != part)
                .all(|other| switches.has(other))
        );
        assert!(switches.off().eq([part]));
    }
    assert_eq!(PolicySwitches::new().off().count(), 0);
}

/// Guards against optional mechanisms that take effect where no operator asked for them.
#[test]
fn optional_mechanisms_are_off_until_they_are_switched_on() {
    let switches = PolicySwitches::without_optional();
    for part in PolicyPart::all() {
        assert_eq!(switches.has(part), !part.is_optional());
        assert!(switches.with(part).has(part));
    }
    let optional = PolicyPart::all().filter(|part| part.is_optional());
    assert_eq!(
        optional.fold(switches, PolicySwitches::with),
        PolicySwitches::new()
    );
}
