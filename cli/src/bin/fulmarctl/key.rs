//! `fulmarctl key`: prints the rule of a new or an existing key.

use std::io;
use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Context as _;
use fulmarford_lib::key;
use fulmarford_lib::key::KeySecret;
use gumdrop::Options;

/// Arguments of `key`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    help: bool,
    #[options(command, required)]
    action: Option<Action>,
}

#[derive(Debug, Options)]
enum Action {
    /// Create a key and print it with its rule; it cannot be displayed again.
    New(KeyArguments),
    /// Read an existing key from standard input and print its rule.
    Hash(KeyArguments),
}

#[derive(Debug, Options)]
struct KeyArguments {
    /// Print this help.
    help: bool,
    /// Name of the key.
    #[options(required, meta = "NAME")]
    name: String,
    /// Workspace that the key grants access to.
    #[options(required, meta = "WORKSPACE")]
    workspace: String,
    /// Person who requested the key.
    #[options(required, meta = "WHO")]
    asker: String,
    /// File with the secret for the keyed hash of keys.
    #[options(required, meta = "FILE")]
    secret_file: PathBuf,
}

/// Creates a key or hashes an existing one.
pub(crate) fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let Some(action) = &arguments.action else {
        eyre::bail!("expected a subcommand: `key new` or `key hash`");
    };
    match action {
        Action::New(arguments) => {
            let secret = arguments.secret()?;
            let key = key::generate(&mut rand::rng());
            println!("{key}");
            println!("{}", arguments.rule(&secret, &key));
        }
        Action::Hash(arguments) => {
            let secret = arguments.secret()?;
            let mut key = String::new();
            io::stdin()
                .read_to_string(&mut key)
                .wrap_err("cannot read the key from standard input")?;
            println!("{}", arguments.rule(&secret, key.trim()));
        }
    }
    Ok(ExitCode::SUCCESS)
}

impl KeyArguments {
    fn secret(&self) -> eyre::Result<KeySecret> {
        let text = std::fs::read_to_string(&self.secret_file).wrap_err("cannot read the secret")?;
        Ok(KeySecret::parse(&text)?)
    }

    fn rule(&self, secret: &KeySecret, key: &str) -> String {
        format!(
            "key {} workspace={} hash={} # {}",
            self.name,
            self.workspace,
            secret.hash(key),
            self.asker
        )
    }
}
