//! Guards the folders of decisions against input and output, which their tests could not replay.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;

/// Folders of `lib/src` that hold decisions.
const FOLDERS: &[&str] = &["cold", "division", "evacuation"];

/// Files in these folders that carry decisions out: they take the clock and the shared state of the process.
const SHELLS: &[&str] = &["cold/watch.rs"];

/// Names that stand for a clock, a source of randomness, a lock, a file, a thread or a connection.
const EFFECTS: &[&str] = &[
    "Instant::now",
    "SystemTime",
    "rand::",
    "Mutex",
    "std::fs",
    "std::io",
    "std::thread",
    "TcpStream",
    "UdpSocket",
    "tokio",
    "hyper",
];

fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder of decisions");
    let paths = entries.map(|entry| entry.expect("a readable entry").path());
    paths
        .filter(|path| path.extension().is_some_and(|kind| kind == "rs"))
        .collect()
}

#[gtest]
fn decisions_without_effects() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for folder in FOLDERS {
        let files = sources(&root.join(folder));
        expect_that!(files, not(is_empty()), "{folder}");
        for file in files {
            let name = file.strip_prefix(&root).expect("a path below the root");
            if SHELLS.iter().any(|shell| name == Path::new(shell)) {
                continue;
            }
            let text = fs::read_to_string(&file).expect("a readable file");
            for effect in EFFECTS {
                expect_that!(
                    text.contains(effect),
                    eq(false),
                    "{effect} in {}",
                    name.display()
                );
            }
        }
    }
}
