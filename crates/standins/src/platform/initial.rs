//! Initial objects of the platform stand-in.

use std::{fs, path::Path};

use eyre::{Context, Result};
use rosemarybank_protocol::platform::{INSTANCES_PREFIX, InstanceEntry};
use serde_json::value::RawValue;

use super::store::{Condition, Store};

/// Loads each file below `dir`, which must be JSON, as an object. The path of the object is the
/// relative path of the file without a `.json` suffix.
///
/// # Errors
///
/// Fails when a file cannot be read or is not JSON.
pub fn load_dir(store: &mut Store, dir: &Path) -> Result<()> {
    load_below(store, dir, "")
}

/// Loads a YAML or JSON list of [`InstanceEntry`] into `instances/`.
///
/// # Errors
///
/// Fails when the file cannot be read or parsed.
pub fn load_instances(store: &mut Store, file: &Path) -> Result<()> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))?;
    let entries: Vec<InstanceEntry> =
        serde_saphyr::from_str(&text).wrap_err_with(|| format!("parse {}", file.display()))?;
    for entry in entries {
        let value = serde_json::value::to_raw_value(&entry)?;
        put(store, &format!("{INSTANCES_PREFIX}{}", entry.replica), value);
    }
    Ok(())
}

fn load_below(store: &mut Store, dir: &Path, prefix: &str) -> Result<()> {
    let entries = fs::read_dir(dir).wrap_err_with(|| format!("read {}", dir.display()))?;
    for entry in entries {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if entry.file_type()?.is_dir() {
            load_below(store, &entry.path(), &format!("{prefix}{name}/"))?;
            continue;
        }
        let file = entry.path();
        let text =
            fs::read_to_string(&file).wrap_err_with(|| format!("read {}", file.display()))?;
        let value = RawValue::from_string(text.trim().to_owned())
            .wrap_err_with(|| format!("parse {}", file.display()))?;
        put(store, &format!("{prefix}{}", name.trim_end_matches(".json")), value);
    }
    Ok(())
}

fn put(store: &mut Store, path: &str, value: Box<RawValue>) {
    store.put(path, Condition::None, value).expect("an unconditional write has no conflict");
}
