//! Certificates and keys of a gateway.

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

/// Name in every gateway's certificate.
pub(super) const PEER_NAME: &str = "peer.turmericloft.internal";

/// What a gateway proves itself with, and whom it believes. All texts are PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Certificate chain, own certificate first.
    pub certificate: String,
    /// Private key of the certificate.
    pub key: String,
    /// Authorities whose certificates are believed; two during a rotation.
    pub authorities: String,
}

/// Files that hold a [`PeerIdentity`], each in PEM.
#[derive(Clone, Copy, Debug)]
pub struct IdentityFiles<'a> {
    /// Certificate chain.
    pub certificate: &'a Path,
    /// Private key.
    pub key: &'a Path,
    /// Authorities.
    pub authorities: &'a Path,
}

/// Why certificates or keys cannot be used.
#[derive(Debug, Error)]
pub enum IdentityError {
    /// A file cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// A text is not PEM of the kind needed.
    #[error("a certificate or key cannot be read")]
    Pem(#[from] rustls_pki_types::pem::Error),
    /// The certificate, the key and the authorities don't fit together.
    #[error("the certificate cannot be used")]
    Certificate(#[from] rustls::Error),
    /// There is no usable authority.
    #[error("the authorities cannot be used")]
    Authorities(#[from] VerifierBuilderError),
    /// The TLS library offers no cipher suite for QUIC.
    #[error("no cipher suite for QUIC")]
    CipherSuite(#[from] NoInitialCipherSuite),
    /// A certificate could not be made.
    #[error("a certificate cannot be made")]
    Generate(#[from] rcgen::Error),
}

impl PeerIdentity {
    /// Makes a new authority and one identity under it, which several gateways may share.
    /// For tests, the demo and first steps; operators bring their own in production.
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

    /// Reads an identity from files.
    pub fn read(files: &IdentityFiles<'_>) -> Result<Self, IdentityError> {
        Ok(Self {
            certificate: read(files.certificate)?,
            key: read(files.key)?,
            authorities: read(files.authorities)?,
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

fn read(path: &Path) -> Result<String, IdentityError> {
    fs::read_to_string(path).map_err(|source| IdentityError::Read {
        path: path.to_owned(),
        source,
    })
}
