//! Certificates and keys for mutual TLS between gateways.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use quinn::{
    ClientConfig, ServerConfig, TransportConfig,
    crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig},
};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rustls::{
    RootCertStore,
    server::{VerifierBuilderError, WebPkiClientVerifier},
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use thiserror::Error;

/// DNS name in the certificate of every gateway.
pub(super) const PEER_NAME: &str = "peer.turmericloft.internal";

/// Certificate and key of a gateway, and the certificate authorities that it trusts, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Certificate chain; the gateway's own certificate comes first.
    pub certificate: String,
    /// Private key of the first certificate.
    pub key: String,
    /// Certificates of the trusted authorities; two during a rotation.
    pub authorities: String,
}

/// Paths of the PEM files of a [`PeerIdentity`], from the settings.
#[derive(Clone, Copy, Debug)]
pub struct IdentityFiles<'a> {
    /// File with the certificate chain.
    pub certificate: &'a Path,
    /// File with the private key.
    pub key: &'a Path,
    /// File with the certificates of the trusted authorities.
    pub authorities: &'a Path,
}

/// Error while reading, checking or generating certificates and keys.
#[derive(Debug, Error)]
pub enum IdentityError {
    /// A file cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error from the file system.
        #[source]
        source: io::Error,
    },
    /// A text is not PEM or lacks the expected section.
    #[error("cannot parse a certificate or key as PEM")]
    Pem(#[from] rustls_pki_types::pem::Error),
    /// The TLS library rejected the certificate, the key or an authority, for example because the
    /// key does not match the certificate.
    #[error("cannot use the certificate")]
    Certificate(#[from] rustls::Error),
    /// The authorities contain no usable certificate.
    #[error("cannot use the certificate authorities")]
    Authorities(#[from] VerifierBuilderError),
    /// The TLS library provides no initial cipher suite for QUIC.
    #[error("the TLS library provides no cipher suite for QUIC")]
    CipherSuite(#[from] NoInitialCipherSuite),
    /// A key or certificate cannot be generated.
    #[error("cannot generate a certificate")]
    Generate(#[from] rcgen::Error),
}

impl PeerIdentity {
    /// Generates a new authority and a certificate signed by it, which several gateways may share.
    /// Meant for tests and the demo; in production, operators provide their own.
    pub fn generate() -> Result<Self, IdentityError> {
        let authority_key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let authority = params.self_signed(&authority_key)?;
        let issuer = Issuer::new(params, authority_key);
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
        let certificate = params.signed_by(&key, &issuer)?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
            authorities: authority.pem(),
        })
    }

    /// Reads an identity from files. The contents are checked only when they are used.
    pub fn read(files: &IdentityFiles<'_>) -> Result<Self, IdentityError> {
        Ok(Self {
            certificate: read_file(files.certificate)?,
            key: read_file(files.key)?,
            authorities: read_file(files.authorities)?,
        })
    }

    pub(super) fn server_config(
        &self,
        transport: Arc<TransportConfig>,
    ) -> Result<ServerConfig, IdentityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(self.roots()?), provider.clone())
                .build()?;
        let tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.private_key()?)?;
        let mut config =
            ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(Arc::new(tls))?));
        config.transport_config(transport);
        Ok(config)
    }

    pub(super) fn client_config(
        &self,
        transport: Arc<TransportConfig>,
    ) -> Result<ClientConfig, IdentityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.private_key()?)?;
        let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(Arc::new(tls))?));
        config.transport_config(transport);
        Ok(config)
    }

    fn roots(&self) -> Result<RootCertStore, IdentityError> {
        let mut roots = RootCertStore::empty();
        for authority in CertificateDer::pem_slice_iter(self.authorities.as_bytes()) {
            roots.add(authority?)?;
        }
        Ok(roots)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
        let chain = CertificateDer::pem_slice_iter(self.certificate.as_bytes());
        Ok(chain.collect::<Result<_, _>>()?)
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>, IdentityError> {
        Ok(PrivateKeyDer::from_pem_slice(self.key.as_bytes())?)
    }
}

fn read_file(path: &Path) -> Result<String, IdentityError> {
    fs::read_to_string(path).map_err(|source| IdentityError::Read {
        path: path.to_owned(),
        source,
    })
}
