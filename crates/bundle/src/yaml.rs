use serde::de::DeserializeOwned;
use serde_saphyr::{Error, Options};

/// Reads YAML without quoting the text in errors, because a key file holds a secret.
pub(crate) fn from_yaml<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let options = Options { with_snippet: false, ..Options::default() };
    serde_saphyr::from_str_with_options(text, options)
}
