use serde::de::DeserializeOwned;
use serde_saphyr::{Error, Options};

/// Deserializes YAML. Errors do not quote the text, because key files contain secrets.
pub(crate) fn from_yaml<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let options = Options { with_snippet: false, ..Options::default() };
    serde_saphyr::from_str_with_options(text, options)
}
