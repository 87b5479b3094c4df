//! Settings from a file and from flags, and the operators' page that is generated
//! from the table of settings.

use std::path::Path;

use clap::Command;
use vg_base::prelude::*;
use vg_conf::settings::{LogFormat, RawSettings, Settings, TABLE, command, load, page};

const FILE: &str = "[node]\nname = e1\nzone = a\n[listen]\ncallers = 0.0.0.0:7400\n\
    peers = 10.0.0.1:7401\n[platform]\nstore = 10.0.0.9:2379, 10.0.0.8:2379\n\
    host-list = 10.0.0.9:80\n[times]\nlease = 8s\n";

fn parse(file: &str, flags: &[(&str, &str)]) -> Result<Settings, String> {
    let mut raw = RawSettings::default();
    raw.add_file("e1.ini", file);
    flags.iter().for_each(|(name, text)| raw.add_flag(name, text));
    Settings::from_raw(raw).map_err(|e| e.to_string())
}

/// A wrong order of precedence would start a process with settings that the operator
/// has overridden.
#[test]
fn a_flag_overrides_the_file_and_the_file_overrides_the_default() {
    let settings = parse(FILE, &[("zone", "b"), ("log-format", "json")]).unwrap();
    assert_eq!(settings.zone.as_str(), "b");
    assert_eq!(settings.lease_ttl, Duration::from_secs(8));
    assert_eq!(settings.heartbeat_interval, Duration::from_secs(1));
    assert_eq!(settings.log_format, LogFormat::Json);
    assert_eq!(settings.store.len(), 2);
}

/// Operators correct the settings by these messages alone, so that whole lines are
/// compared.
#[test]
fn each_diagnostic_names_its_place_and_what_is_accepted() {
    let cases: [(&str, &str, &str); 9] = [
        (
            "name = e1",
            "name = E1",
            "e1.ini:2: [node] name: `E1` is not valid: `E1` has `E`: a name has a-z, 0-9, `.`, `_` and `-`, and starts with a letter or digit; accepted: a name",
        ),
        (
            "name = e1\n",
            "",
            "settings: [node] name: the setting is missing; set it in the settings file or by the flag --node; accepted: a name",
        ),
        (
            "zone =",
            "zoen =",
            "e1.ini:3: [node] zoen: the key is not known, did you mean `zone`?; accepted: name, zone, region",
        ),
        (
            "[times]",
            "[time]",
            "e1.ini:10: [time] the section is not known, did you mean `times`?; accepted: node, listen, platform, times, limits, log, events",
        ),
        (
            "lease = 8s",
            "lease = 1s",
            "e1.ini:11: [times] lease: the lease is shorter than 3 heartbeats; accepted: at least 3s",
        ),
        (
            "lease = 8s",
            "lease = 8s\nlease = 9s",
            "e1.ini:12: [times] lease: the key is given twice, first in line 11; accepted: one value",
        ),
        (
            "10.0.0.1:7401",
            "0.0.0.0:7401",
            "e1.ini:6: [listen] peers: `0.0.0.0:7401` is not an address that other entry hosts can reach; accepted: an IP address of this host and a port, not 0.0.0.0",
        ),
        (
            "10.0.0.9:80",
            "store.example:80",
            "e1.ini:9: [platform] host-list: `store.example:80` is not valid: invalid socket address syntax; accepted: an IP address and port such as 10.0.0.5:7400",
        ),
        (
            "[times]",
            "[node]",
            "e1.ini:10: [node] the section is given twice, first in line 1; accepted: one section of each name",
        ),
    ];
    for (from, to, expected) in cases {
        let found = parse(&FILE.replace(from, to), &[]).unwrap_err();
        // A misspelt key gives two diagnostics: its own, and one for the missing setting.
        assert!(found.lines().any(|line| line == expected), "{found}\nexpected: {expected}");
    }
}

/// A flag has no line in a file, so its diagnostic must name the command line instead.
#[test]
fn a_diagnostic_about_a_flag_names_the_flag() {
    let found = parse(FILE, &[("heartbeat", "soon")]).unwrap_err();
    let expected = "command line: --heartbeat: `soon` is not a duration; accepted: a duration of at least 1ms such as 500ms, 5s or 2m";
    assert_eq!(found, expected);
}

/// The flags are generated from the table, and a setting without a flag or help would
/// go unnoticed.
#[test]
fn every_setting_has_a_flag_with_help() {
    let built = command(Command::new("verbenagapd"));
    let args = ["verbenagapd", "--node", "e1", "--zone", "a", "--listen", "127.0.0.1:1"];
    let more = ["--peer-listen", "127.0.0.1:2", "--store", "127.0.0.1:3"];
    let last = ["--host-list", "127.0.0.1:4", "--idle", "5s"];
    let matches = built.clone().get_matches_from(args.iter().chain(&more).chain(&last));
    assert_eq!(load(&matches).unwrap().idle_timeout, Duration::from_secs(5));
    for setting in TABLE {
        assert!(built.get_arguments().any(|arg| arg.get_long() == Some(setting.name)));
        assert!(!setting.help().is_empty());
    }
}

/// The error of the operating system does not name the file, so that the message must.
#[test]
fn the_error_for_an_unreadable_file_names_the_file() {
    let args = ["verbenagapd", "--config", "/nowhere/e1.ini"];
    let matches = command(Command::new("verbenagapd")).get_matches_from(args);
    let found = load(&matches).unwrap_err().to_string();
    assert!(found.starts_with("the settings file /nowhere/e1.ini can't be read"), "{found}");
}

/// The page is generated from the table and gets out of date if a setting changes. Set
/// `VERBENAGAP_REGENERATE` to write it anew.
#[test]
fn the_operators_page_matches_the_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/settings.md");
    if std::env::var_os("VERBENAGAP_REGENERATE").is_some() {
        std::fs::write(&path, page()).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap(), page());
}
