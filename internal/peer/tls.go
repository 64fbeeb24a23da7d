package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"citronslip/internal/certificate"
	"citronslip/internal/event"
)

type (
	// TLS names the files with this router's certificate and the certificate authority of the fleet. Changed files are
	// loaded for the next connection; open connections keep their certificate until it expires. Fields are set before
	// the first connection.
	TLS struct {
		// Authority, Certificate and Key are the paths of PEM files.
		Authority   string
		Certificate string
		Key         string
		// Name is the DNS name or the URI that the certificate of every router must carry.
		Name string
		// Now is the clock for the validity period of certificates; nil means time.Now.
		Now func() time.Time

		once  sync.Once
		watch certificate.Reloader[credentials]
	}

	// credentials is the content of the files.
	credentials struct {
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

// Check loads the files. It returns ErrCertificate if they cannot be used.
func (t *TLS) Check() error {
	_, err := t.load()
	return err
}

// serverConfig returns the TLS configuration for accepted connections. Clients must present a certificate, which the
// verifier checks.
func (t *TLS) serverConfig(logger *zerolog.Logger) (*tls.Config, error) {
	creds, err := t.current(logger)
	if err != nil {
		return nil, err
	}
	config := t.baseConfig(creds)
	config.ClientAuth = tls.RequireAnyClientCert
	config.SessionTicketsDisabled = true
	config.VerifyConnection = t.verifier(creds, x509.ExtKeyUsageClientAuth)
	return config, nil
}

// clientConfig returns the TLS configuration for outgoing connections. The verifier replaces the verification of
// crypto/tls, which compares the certificate with the dialed name, while all routers of the fleet carry the same name.
func (t *TLS) clientConfig(logger *zerolog.Logger) (*tls.Config, error) {
	creds, err := t.current(logger)
	if err != nil {
		return nil, err
	}
	config := t.baseConfig(creds)
	config.InsecureSkipVerify = true
	config.VerifyConnection = t.verifier(creds, x509.ExtKeyUsageServerAuth)
	return config, nil
}

func (t *TLS) baseConfig(creds *credentials) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{creds.certificate},
		MinVersion:   tls.VersionTLS13,
		Time:         t.Now,
	}
}

// verifier returns a function that checks the chain, the key usage and the required name of the peer's certificate. Its
// errors wrap ErrCertificate.
func (t *TLS) verifier(creds *credentials, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return trace.Wrap(ErrCertificate, "the peer presented none")
		}
		leaf := state.PeerCertificates[0]
		options := x509.VerifyOptions{
			Roots:         creds.authorities,
			Intermediates: x509.NewCertPool(),
			CurrentTime:   t.now(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, certificate := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(certificate)
		}
		if _, err := leaf.Verify(options); err != nil {
			return trace.Wrap(ErrCertificate, "%v", err)
		}
		if !t.hasName(leaf) {
			return trace.Wrap(ErrCertificate, "it does not carry the required name %q", t.Name)
		}
		return nil
	}
}

// hasName reports whether the certificate carries the required name: as a URI if it contains "://", otherwise as a DNS
// name.
func (t *TLS) hasName(certificate *x509.Certificate) bool {
	if !strings.Contains(t.Name, "://") {
		return t.Name != "" && slices.Contains(certificate.DNSNames, t.Name)
	}
	for _, uri := range certificate.URIs {
		if uri.String() == t.Name {
			return true
		}
	}
	return false
}

// current loads the files if they changed and returns the credentials in use. If the changed files cannot be used, such
// as a new certificate whose key has not been written yet, it logs that and returns the previous credentials.
func (t *TLS) current(logger *zerolog.Logger) (*credentials, error) {
	t.once.Do(func() {
		t.watch.Files = []string{t.Authority, t.Certificate, t.Key}
		t.watch.Read = t.load
	})
	creds, changed, err := t.watch.Current()
	switch {
	case creds == nil:
		return nil, err
	case err != nil:
		event.PeerCertificatesRejected.Log(logger).Err(err).Send()
	case changed:
		event.PeerCertificatesLoaded.Log(logger).Time("expires", creds.certificate.Leaf.NotAfter).Send()
	}
	return creds, nil
}

// load reads and parses the files. Its errors wrap ErrCertificate.
func (t *TLS) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, trace.Wrap(ErrCertificate, "%v", err)
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, trace.Wrap(ErrCertificate, "%v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.Wrap(ErrCertificate, "%s holds no certificate", t.Authority)
	}
	return &credentials{certificate: certificate, authorities: pool}, nil
}

func (t *TLS) now() time.Time {
	if t.Now == nil {
		return time.Now()
	}
	return t.Now()
}
