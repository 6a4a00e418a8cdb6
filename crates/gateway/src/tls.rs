//! TLS for callers, with automatic reload of the certificate when its files change.

use std::path::Path;
use std::sync::{Arc, RwLock};
use std::time::{Duration, SystemTime};

use eyre::{OptionExt, WrapErr};
use rustls::ServerConfig;
use rustls::crypto::ring::sign::any_supported_type;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;

use crate::options::Tls;

/// Poll interval for changes of the certificate files.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The certificate in use, shared with the TLS acceptor.
#[derive(Debug)]
struct Certificate(RwLock<Arc<CertifiedKey>>);

impl ResolvesServerCert for Certificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        self.0.read().ok().map(|current| current.clone())
    }
}

/// Creates the server configuration and starts the reload task of its certificate.
///
/// # Errors
/// Fails when the certificate or its key cannot be read, is malformed, or they do not match.
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
    let mut loaded = modification_times(&options);
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let found = modification_times(&options);
        if found == loaded {
            continue;
        }
        // A failed load is retried, since the two files may be replaced one after the other.
        match load(&options) {
            Ok(key) => {
                if let Ok(mut current) = certificate.0.write() {
                    *current = Arc::new(key);
                }
                loaded = found;
                tracing::info!("tls: certificate reloaded");
            }
            Err(error) => tracing::warn!(
                %error,
                "tls: certificate cannot be reloaded, keeping the previous one"
            ),
        }
    }
}

fn modification_times(options: &Tls) -> [Option<SystemTime>; 2] {
    [&options.certificate_file, &options.key_file].map(|path| {
        std::fs::metadata(path)
            .and_then(|metadata| metadata.modified())
            .ok()
    })
}

fn load(options: &Tls) -> eyre::Result<CertifiedKey> {
    let certificates = rustls_pemfile::certs(&mut open_file(&options.certificate_file)?)
        .collect::<Result<Vec<_>, _>>()
        .wrap_err("certificate file is malformed")?;
    eyre::ensure!(
        !certificates.is_empty(),
        "certificate file holds no certificate"
    );
    let key = rustls_pemfile::private_key(&mut open_file(&options.key_file)?)
        .wrap_err("key file is malformed")?
        .ok_or_eyre("key file holds no private key")?;
    let certified = CertifiedKey::new(certificates, any_supported_type(&key)?);
    certified
        .keys_match()
        .wrap_err("certificate and key do not match")?;
    Ok(certified)
}

fn open_file(path: &Path) -> eyre::Result<std::io::BufReader<std::fs::File>> {
    let file = std::fs::File::open(path)
        .wrap_err_with(|| format!("file {} cannot be read", path.display()))?;
    Ok(std::io::BufReader::new(file))
}
