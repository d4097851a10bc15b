//! Connection of a command to an instance.

use std::path::PathBuf;

use eyre::Context as _;
use fulmarford_lib::operator_client::OperatorClient;

/// Default address of the instance.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8080";

/// Environment variable with the address of the instance.
const ADDRESS_VARIABLE: &str = "FULMARFORD_ADDRESS";

/// Environment variable with the path of the operator token file.
const TOKEN_VARIABLE: &str = "FULMARFORD_OPERATOR_TOKEN_FILE";

/// Instance that a command connects to.
pub(crate) struct Instance;

impl Instance {
    /// Creates a client from flags or environment variables.
    pub(crate) fn client(
        address: &Option<String>,
        token_file: &Option<PathBuf>,
    ) -> eyre::Result<OperatorClient> {
        let address = address
            .clone()
            .or_else(|| std::env::var(ADDRESS_VARIABLE).ok())
            .unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
        let file = token_file
            .clone()
            .or_else(|| std::env::var_os(TOKEN_VARIABLE).map(PathBuf::from))
            .ok_or_else(|| {
                eyre::eyre!("no operator token: set --token-file or {TOKEN_VARIABLE}")
            })?;
        let text = std::fs::read_to_string(&file)
            .wrap_err_with(|| format!("cannot read {}", file.display()))?;
        // The daemon accepts every token in its file, so the same file works here.
        let token = text.lines().map(str::trim).find(|line| !line.is_empty());
        let token = token.ok_or_else(|| eyre::eyre!("the token file contains no token"))?;
        Ok(OperatorClient::new(&address, token))
    }
}
