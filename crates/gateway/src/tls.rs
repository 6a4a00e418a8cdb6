//! TLS towards callers, with certificates that are reloaded when their files change.

use std::path::Path;
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime};

use eyre::{OptionExt, WrapErr};
use rustls::ServerConfig;
use rustls::crypto::ring::sign::any_supported_type;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;

use crate::options::Tls;

/// Time between two looks at the certificate files.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The certificate in use.
#[derive(Debug)]
struct Certificate(RwLock<Arc<CertifiedKey>>);

impl ResolvesServerCert for Certificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        self.0.read().ok().map(|current| current.clone())
    }
}

/// Makes the server configuration and starts the reloading of its certificate.
///
/// # Errors
/// Fails when the certificate or its key cannot be read.
pub(crate) fn configure(options: &Tls) -> eyre::Result<ServerConfig> {
    let certificate = Arc::new(Certificate(RwLock::new(Arc::new(load(options)?))));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(certificate.clone());
    actix_rt::spawn(reload(options.clone(), certificate));
    Ok(config)
}

async fn reload(options: Tls, certificate: Arc<Certificate>) {
    let mut loaded = modified(&options);
    loop {
        actix_rt::time::sleep(RELOAD_INTERVAL).await;
        let found = modified(&options);
        if found == loaded {
            continue;
        }
        // A failed load is tried again, since the two files may be replaced one after the other.
        match load(&options) {
            Ok(key) => {
                if let Ok(mut current) = certificate.0.write() {
                    *current = Arc::new(key);
                }
                loaded = found;
                tracing::info!("tls: certificate reloaded");
            }
            Err(error) => tracing::warn!(%error, "tls: certificate cannot be reloaded"),
        }
    }
}

fn modified(options: &Tls) -> [Option<SystemTime>; 2] {
    [&options.certificate_file, &options.key_file].map(|path| {
        std::fs::metadata(path)
            .and_then(|metadata| metadata.modified())
            .ok()
    })
}

fn load(options: &Tls) -> eyre::Result<CertifiedKey> {
    let certificates = rustls_pemfile::certs(&mut open(&options.certificate_file)?)
        .collect::<Result<Vec<_>, _>>()
        .wrap_err("certificate file is malformed")?;
    eyre::ensure!(
        !certificates.is_empty(),
        "certificate file holds no certificate"
    );
    let key = rustls_pemfile::private_key(&mut open(&options.key_file)?)
        .wrap_err("key file is malformed")?
        .ok_or_eyre("key file holds no private key")?;
    let certified = CertifiedKey::new(certificates, any_supported_type(&key)?);
    certified
        .keys_match()
        .wrap_err("certificate and key do not match")?;
    Ok(certified)
}

fn open(path: &Path) -> eyre::Result<std::io::BufReader<std::fs::File>> {
    let file = std::fs::File::open(path)
        .wrap_err_with(|| format!("file {} cannot be read", path.display()))?;
    Ok(std::io::BufReader::new(file))
}
