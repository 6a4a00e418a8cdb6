//! `berylknot key make` and `berylknot key withdraw`: create and revoke keys of customers.

use std::fmt::Write;

use berylknot_settings::key::Hash;
use eyre::WrapErr;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde_json::json;

use crate::args::{Make, Withdraw};
use crate::config::Config;
use crate::overlay;
use crate::report::{Code, Report};

/// Random bytes in a key; 256 bits cannot be guessed.
const KEY_BYTES: usize = 32;

/// Random bytes in a key's public id.
const ID_BYTES: usize = 4;

pub(crate) fn make(config: &Config, arguments: &Make) -> eyre::Result<Report> {
    let pepper = config.pepper()?;
    let customer = &arguments.customer;
    let id = match &arguments.id {
        Some(id) => id.clone(),
        None => format!("{customer}-{}", random_hex::<ID_BYTES>()?),
    };
    let key = format!("bk-{}", random_hex::<KEY_BYTES>()?);
    let hash = Hash::of(&key, &pepper).to_hex();
    let settings = json!({ "keys": { &id: { "customer": customer, "hash": hash } } });
    let text = format!(
        "key, shown only this once:\n{key}\n\nsettings to add to the folder:\n{settings:#}"
    );
    let json = json!({ "id": id, "key": key, "settings": settings });
    Ok(Report::with_json(Code::Success, text, json))
}

pub(crate) fn withdraw(arguments: &Withdraw) -> eyre::Result<Report> {
    let id = &arguments.id;
    let change = json!({ "keys": { id: { "withdrawn": true } } });
    let Some(folder) = &arguments.folder else {
        let text = format!("settings to add to the folder:\n{change:#}");
        return Ok(Report::with_json(
            Code::Success,
            text,
            json!({ "settings": change }),
        ));
    };
    let document = berylknot_settings::document::read_folder(folder)?;
    if document["keys"].get(id).is_none() {
        let text = format!("key {id:?} does not exist in {}", folder.display());
        return Ok(Report::failure(Code::Findings, text));
    }
    let path = overlay::write(folder, &change)?;
    let text = format!(
        "wrote {}\npublish the folder to withdraw the key everywhere",
        path.display()
    );
    let json = json!({ "file": path, "settings": change });
    Ok(Report::with_json(Code::Success, text, json))
}

fn random_hex<const BYTES: usize>() -> eyre::Result<String> {
    let mut bytes = [0; BYTES];
    OsRng
        .try_fill_bytes(&mut bytes)
        .wrap_err("random bytes cannot be read from the operating system")?;
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}")?;
    }
    Ok(text)
}
