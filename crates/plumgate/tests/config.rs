//! Validation of the configuration files, and the findings that operators get.

mod support;

use plumgate::Error;
use plumgate::config::{ConfigBundle, config_changes, key_digest};
use support::{RULES, inventory};

fn findings(inventory: &str, rules: &str) -> String {
    match ConfigBundle::new(inventory, rules).read(1) {
        Err(Error::Findings(findings)) => findings.to_string(),
        other => panic!("findings were expected, not {other:?}"),
    }
}

#[test]
fn all_findings_are_reported_together_with_their_place() {
    let text = r#"[data_centres.here]
region = "r"
[servers.s1]
data_centre = "her"
model = "m"
address = "localhost:80"
slots = 0
[servers.s2]
data_centre = "here"
address = "127.0.0.1:1"
slot = 3
[workspaces.norte]
tier = "gold"
concurrency = 1
requests_per_second = 1
key_digests = ["abc"]
"#;
    let rules = RULES.replace("tier = \"overnight\"", "tier = \"overnigt\"");
    let expected = r#"inventory.toml:4: servers.s1.data_centre: "her" is not a data centre; did you mean "here"?
inventory.toml:6: servers.s1.address: "localhost:80" is not an IP number with a port
inventory.toml:7: servers.s1.slots: must be above 0
inventory.toml:8: servers.s2: needs either a model or a service
inventory.toml:8: servers.s2.slots: is missing
inventory.toml:11: servers.s2.slot: is not a field; did you mean "slots"?
inventory.toml:13: workspaces.norte.tier: "gold" is not a tier; known are courier, doorstep, overnight
inventory.toml:16: workspaces.norte.key_digests: is not a SHA-256 digest in lower-case hexadecimal; see plumgate key-digest
rules.toml:22: classes.dossier.tier: "overnigt" is not a tier; did you mean "overnight"?
9 findings; nothing was applied"#;
    assert_eq!(findings(text, &rules), expected);
}

#[test]
fn broken_toml_is_reported_with_its_line_and_nothing_panics() {
    let text = findings("[servers.s1\nslots = ", RULES);
    assert!(text.starts_with("inventory.toml:1: "), "{text}");
}

// Guards against two names for one address: each would get the server's full load, and callers would wait
// twice as long as predicted.
#[test]
fn one_address_under_two_names_is_a_finding() {
    let text = inventory(2, 1).replace(":1002", ":1001");
    assert!(findings(&text, RULES).contains("has the address 127.0.0.1:1001 of \"s1\""));
}

// Guards against one key in two workspaces, which would give one customer another's data.
#[test]
fn one_key_in_two_workspaces_is_a_finding() {
    let keys = format!("key_digests = [\"{}\"]\n", key_digest("secret"));
    let text = inventory(1, 1).replace(
        "requests_per_second = 1000\n",
        &format!("requests_per_second = 1000\n{keys}"),
    );
    assert!(findings(&text, RULES).contains("already names workspace"));
}

#[test]
fn floors_that_starve_the_highest_tier_are_a_finding() {
    let rules = RULES.replace("floor = 0.1", "floor = 0.3");
    assert!(findings(&inventory(1, 1), &rules).contains("above 0.5"));
}

#[test]
fn key_identifies_only_its_own_workspace() {
    let keys = format!(
        "tier = \"courier\"\nkey_digests = [\"{}\"]\n",
        key_digest("secret")
    );
    let text = inventory(1, 1).replacen("tier = \"doorstep\"\n", &keys, 1);
    let config = ConfigBundle::new(text, RULES).read(1).expect("no findings");
    let workspace = config.workspace_of("secret").expect("the key is known");
    assert_eq!(&*workspace.id, "norte");
    assert!(config.workspace_of("Secret").is_none());
    let class = &config.rules.classes["caption"];
    assert_eq!(
        config.rank_of(workspace, class),
        2,
        "the tier of the workspace is below the tier of the class"
    );
}

#[test]
fn drained_server_that_does_not_exist_is_a_finding() {
    let bundle = ConfigBundle::new(inventory(1, 1), RULES).with_drained(["s2".to_owned()]);
    assert!(bundle.read(1).is_err());
}

#[test]
fn changes_list_what_was_added_removed_and_changed() {
    let read = |text: String| ConfigBundle::new(text, RULES).read(1).expect("no findings");
    let old = read(inventory(2, 1));
    let new = read(
        inventory(3, 1)
            .replace("[servers.s1]", "[servers.s9]")
            .replace("slots = 1", "slots = 2"),
    );
    let changes: Vec<String> = config_changes(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(changes.contains(&"- servers.s1".to_owned()), "{changes:?}");
    assert!(changes.contains(&"+ servers.s9".to_owned()));
    assert!(
        changes
            .iter()
            .any(|change| change.starts_with("~ servers.s2: "))
    );
}

#[test]
fn examples_have_no_findings() {
    for example in ["foundation", "brazos", "demo"] {
        let folder = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let read = |name: &str| {
            std::fs::read_to_string(format!("{folder}/{name}")).expect("the example exists")
        };
        let bundle = ConfigBundle::new(read("inventory.toml"), read("rules.toml"));
        assert!(bundle.read(1).is_ok(), "{example}");
    }
}
