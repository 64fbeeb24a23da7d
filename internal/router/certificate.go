package router

import (
	"crypto/tls"

	"github.com/gravitational/trace"

	"citronslip/internal/certificate"
	"citronslip/internal/event"
)

// callerTLSConfig returns the TLS configuration for callers. The certificate is reloaded when its files change, so that
// a renewal needs no restart; open connections are kept. A certificate that cannot be loaded leaves the previous one in
// use.
func (r *Router) callerTLSConfig() *tls.Config {
	watcher := &certificate.Reloader[tls.Certificate]{
		Files: []string{r.Settings.Certificate, r.Settings.Key},
		Read: func() (*tls.Certificate, error) {
			pair, err := tls.LoadX509KeyPair(r.Settings.Certificate, r.Settings.Key)
			return &pair, trace.Wrap(err)
		},
	}
	getCertificate := func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		pair, changed, err := watcher.Current()
		switch {
		case pair == nil:
			return nil, trace.Wrap(err)
		case err != nil:
			event.CallerCertificateRejected.Log(r.Logger).Err(err).Send()
		case changed:
			event.CallerCertificateLoaded.Log(r.Logger).Time("expires", pair.Leaf.NotAfter).Send()
		}
		return pair, nil
	}
	return &tls.Config{GetCertificate: getCertificate, MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
}
