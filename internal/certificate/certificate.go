// Package certificate reloads certificates when their files change, and issues a certificate authority and router
// certificates for demonstrations and tests.
package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// DefaultValidity is the default validity period of issued certificates.
	DefaultValidity = 24 * time.Hour
	// clockSkew is how far the start of the validity period is set back, to tolerate hosts whose clocks differ.
	clockSkew = 5 * time.Minute
)

var (
	// ErrIssue is returned when a certificate could not be issued or its files could not be written.
	ErrIssue = errors.New("certificate: not issued")
)

type (
	// Authority is a certificate authority that signs router certificates. Its private key stays in memory. Directory
	// and Now are set before Create.
	Authority struct {
		// Directory is the existing directory that the PEM files are written to.
		Directory string
		// Now returns the current time; nil means time.Now.
		Now func() time.Time

		certificate *x509.Certificate
		key         *ecdsa.PrivateKey
	}

	// Files holds the paths of the PEM files of one router.
	Files struct {
		Authority   string // Certificate of the authority.
		Certificate string // Certificate of the router.
		Key         string // Private key of the router.
	}
)

// Create generates the authority's private key and writes its self-signed certificate to authority.pem. Errors wrap
// ErrIssue.
func (a *Authority) Create() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return trace.Wrap(ErrIssue, "%v", err)
	}
	template, err := a.template("citronslip authority", DefaultValidity)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return trace.Wrap(ErrIssue, "%v", err)
	}
	a.key = key
	a.certificate, err = x509.ParseCertificate(der)
	if err != nil {
		return trace.Wrap(ErrIssue, "%v", err)
	}
	return writePEM(a.authorityPath(), "CERTIFICATE", der, 0o644)
}

// Issue writes the certificate NAME.pem and the private key NAME.key of a router. The identity, a DNS name or a URI,
// becomes the certificate's subject alternative name. Each file is replaced atomically. A validity of zero means
// DefaultValidity; a negative one issues a certificate that has already expired. Errors wrap ErrIssue.
func (a *Authority) Issue(name, identity string, validity time.Duration) (Files, error) {
	files := Files{
		Authority:   a.authorityPath(),
		Certificate: filepath.Join(a.Directory, name+".pem"),
		Key:         filepath.Join(a.Directory, name+".key"),
	}
	if a.key == nil {
		return files, trace.Wrap(ErrIssue, "the authority has no key; call Create first")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, trace.Wrap(ErrIssue, "%v", err)
	}
	template, err := a.routerTemplate(name, identity, validity)
	if err != nil {
		return files, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, trace.Wrap(ErrIssue, "%v", err)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, trace.Wrap(ErrIssue, "%v", err)
	}
	if err := writePEM(files.Key, "PRIVATE KEY", encodedKey, 0o600); err != nil {
		return files, err
	}
	return files, writePEM(files.Certificate, "CERTIFICATE", der, 0o644)
}

// routerTemplate returns the template of a router certificate, valid for server and client authentication.
func (a *Authority) routerTemplate(name, identity string, validity time.Duration) (*x509.Certificate, error) {
	if validity == 0 {
		validity = DefaultValidity
	}
	template, err := a.template(name, validity)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if !strings.Contains(identity, "://") {
		template.DNSNames = []string{identity}
		return template, nil
	}
	uri, err := url.Parse(identity)
	if err != nil {
		return nil, trace.Wrap(ErrIssue, "%v", err)
	}
	template.URIs = []*url.URL{uri}
	return template, nil
}

// template returns a certificate template with a random serial number, the common name and the validity period. The
// period of an expired certificate still begins before it ends.
func (a *Authority) template(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, trace.Wrap(ErrIssue, "%v", err)
	}
	now := time.Now
	if a.Now != nil {
		now = a.Now
	}
	notAfter := now().Add(validity)
	notBefore := now().Add(-clockSkew)
	if !notBefore.Before(notAfter) {
		notBefore = notAfter.Add(-clockSkew)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    notBefore,
		NotAfter:     notAfter,
	}, nil
}

func (a *Authority) authorityPath() string {
	return filepath.Join(a.Directory, "authority.pem")
}

// writePEM replaces a file atomically by one PEM block.
func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(path+".new", data, mode); err != nil {
		return trace.Wrap(ErrIssue, "%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return trace.Wrap(ErrIssue, "%v", err)
	}
	return nil
}
