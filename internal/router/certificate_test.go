package router_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/certificate"
	"citronslip/internal/harness"
	"citronslip/internal/router"
)

// Guards against callers that get HTTP/1.1 although they ask for HTTP/2 over TLS, against a renewed certificate that is
// not loaded without a restart, and against a half-written key file that leaves the router without a certificate.
func TestCallerTLSServesHTTP2AndRenewedCertificate(t *testing.T) {
	is := is.New(t)
	authority := &certificate.Authority{Directory: t.TempDir()}
	is.NoErr(authority.Create())
	files, err := authority.Issue("callers", "router.test", 0)
	is.NoErr(err)
	get := startTLS(t, files)
	first := get()
	is.Equal(get(), first)
	key, err := os.ReadFile(files.Key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.Key, []byte("half a file"), 0o600))
	is.Equal(get(), first)
	is.NoErr(os.WriteFile(files.Key, key, 0o600))
	is.Equal(get(), first)
	_, err = authority.Issue("callers", "router.test", time.Hour)
	is.NoErr(err)
	is.True(get() != first)
}

// startTLS runs a router with TLS for callers. The returned function opens a new connection and returns the serial
// number of the router's certificate.
func startTLS(t *testing.T, files certificate.Files) func() string {
	var settings router.Settings
	settings.Register(flag.NewFlagSet("test", flag.ContinueOnError))
	settings.Listen = "127.0.0.1:0"
	settings.Peer = harness.ReservePort(t)
	settings.Platform = "http://127.0.0.1:1" // Nothing listens there; the test needs no platform.
	settings.Grace = time.Second
	settings.Certificate, settings.Key = files.Certificate, files.Key
	listening := make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- (&router.Router{Settings: settings, Listening: listening}).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	address := <-listening
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	return func() string {
		transport := &http.Transport{
			TLSClientConfig:   &tls.Config{RootCAs: pool, ServerName: "router.test"},
			ForceAttemptHTTP2: true,
		}
		defer transport.CloseIdleConnections()
		response, err := (&http.Client{Transport: transport}).Get("https://" + address + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.ProtoMajor != 2 {
			t.Fatalf("protocol is %s, expected HTTP/2", response.Proto)
		}
		return response.TLS.PeerCertificates[0].SerialNumber.String()
	}
}
