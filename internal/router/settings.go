// Package router assembles one router process and runs it: the servers for callers, other routers and operators, and
// the controllers that keep its view of the fleet up to date.
package router

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const (
	defaultMemoryMB       = 1024
	defaultBodyBytes      = 4 << 20
	defaultHeaderBytes    = 32 << 10
	defaultRequestTimeout = 10 * time.Minute
	defaultIdleTimeout    = time.Minute
	defaultGracePeriod    = 30 * time.Second
	defaultQueueTimeout   = 10 * time.Second
	defaultRetention      = 24 * time.Hour

	// minMemoryMB is the least memory of a router: its own state and a few requests.
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
	// minDescriptors is the least number of file descriptors: those that are reserved and a few connections.
	minDescriptors = 256
	maxDescriptors = 1 << 30

	// minSizeBytes and maxSizeBytes bound the settings Body and Header.
	minSizeBytes = 1 << 10
	maxSizeBytes = 1 << 30
	// maxDuration bounds the settings that are durations; Retention may be 90 times as long.
	maxDuration = 24 * time.Hour
)

type (
	// Settings are the settings of one router process.
	Settings struct {
		Name        string        // Name of the router; Run replaces an empty one by Listen.
		Place       string        // Data centre of the host.
		Listen      string        // Address for callers.
		Certificate string        // File of the certificate for callers; empty means plain HTTP.
		Key         string        // File of the private key of Certificate.
		Peer        string        // Address for other routers.
		Proxy       string        // Address for requests of other routers to backend servers; empty means a free port of Peer's IP address.
		Seeds       string        // Peer addresses through which the router joins the fleet, separated by commas.
		Authority   string        // File of the fleet's certificate authority; empty means plain TCP, on loopback only.
		Identity    string        // File of the router's certificate for connections with other routers.
		Secret      string        // File of the private key of Identity.
		Admin       string        // Address for operators; empty means none.
		Credential  string        // File with the names and credentials of operators.
		Platform    string        // Base URL of the platform's services.
		Memory      int           // Memory that the process may use, in MiB.
		Descriptors int           // File descriptors that the process may open; zero means the limit of the system.
		Body        int           // Maximum size of a request body in bytes.
		Header      int           // Maximum size of a request header in bytes.
		Duration    time.Duration // Timeout of one request.
		Idle        time.Duration // Idle timeout of a connection.
		Queue       time.Duration // Maximum time of a request in the admission queue.
		Grace       time.Duration // Time limit of a graceful shutdown.
		Retention   time.Duration // How long claims of idempotency keys and the answers recorded with them are kept.
		Log         string        // Lowest level of log lines: debug, info, warn or error.
	}

	// SettingError describes an invalid setting.
	SettingError struct {
		Key     string // Name of the flag.
		Message string // What is wrong and which values are accepted.
	}
)

// Register adds a flag for each setting and sets the settings to their defaults.
func (s *Settings) Register(flags *flag.FlagSet) {
	flags.StringVar(&s.Name, "name", "", "name of the router, as declared among the hosts of the inventory; default is the value of -listen")
	flags.StringVar(&s.Place, "place", "", "data centre of the host")
	flags.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "IP address and port for callers")
	flags.StringVar(&s.Certificate, "certificate", "", "file of the certificate for callers; empty means plain HTTP")
	flags.StringVar(&s.Key, "key", "", "file of the private key of -certificate")
	flags.StringVar(&s.Peer, "peer", "127.0.0.1:7080", "IP address and port for other routers")
	flags.StringVar(&s.Proxy, "proxy", "", "IP address and port for requests of other routers to backend servers; default is a free port of the IP address of -peer")
	flags.StringVar(&s.Seeds, "seeds", "", "addresses of other routers through which this one joins the fleet, separated by commas")
	flags.StringVar(&s.Authority, "authority", "", "file of the fleet's certificate authority; required unless -peer is a loopback address")
	flags.StringVar(&s.Identity, "identity", "", "file of the router's certificate for connections with other routers")
	flags.StringVar(&s.Secret, "secret", "", "file of the private key of -identity")
	flags.StringVar(&s.Admin, "admin", "", "IP address and port for operators; empty means none")
	flags.StringVar(&s.Credential, "credential", "", "file with the names and credentials of operators")
	flags.StringVar(&s.Platform, "platform", "", "base URL of the platform's services")
	flags.IntVar(&s.Memory, "memory", defaultMemoryMB, "memory that the process may use in MiB")
	flags.IntVar(&s.Descriptors, "descriptors", 0, "number of file descriptors that the process may open; 0 means the limit of the system")
	flags.IntVar(&s.Body, "body", defaultBodyBytes, "maximum size of a request body in bytes")
	flags.IntVar(&s.Header, "header", defaultHeaderBytes, "maximum size of a request header in bytes")
	flags.DurationVar(&s.Duration, "duration", defaultRequestTimeout, "timeout of one request")
	flags.DurationVar(&s.Idle, "idle", defaultIdleTimeout, "idle timeout of a connection")
	flags.DurationVar(&s.Queue, "queue", defaultQueueTimeout, "maximum time of a request in the admission queue")
	flags.DurationVar(&s.Grace, "grace", defaultGracePeriod, "time limit of a graceful shutdown")
	flags.DurationVar(&s.Retention, "retention", defaultRetention, "how long idempotency keys and the answers recorded with them are kept")
	flags.StringVar(&s.Log, "log", "info", "lowest level of log lines: debug, info, warn or error")
}

// Check returns all invalid settings. It reads the files of certificates and credentials but opens no listener.
func (s *Settings) Check() []SettingError {
	var invalid []SettingError
	add := func(key, format string, args ...any) {
		invalid = append(invalid, SettingError{Key: key, Message: fmt.Sprintf(format, args...)})
	}
	s.checkAddresses(add)
	s.checkFiles(add)
	s.checkRanges(add)
	if _, err := zerolog.ParseLevel(s.Log); err != nil || s.Log == "" {
		add("log", "%q is not a level; accepted are debug, info, warn and error", s.Log)
	}
	return invalid
}

// SeedList splits Seeds at its commas.
func (s *Settings) SeedList() []string {
	var seeds []string
	for seed := range strings.SplitSeq(s.Seeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (s *Settings) checkAddresses(add func(key, format string, args ...any)) {
	const accepted = "accepted is an IP address with a port, such as 127.0.0.1:8080"
	addresses := map[string]string{"listen": s.Listen, "peer": s.Peer}
	if s.Admin != "" {
		addresses["admin"] = s.Admin
	}
	if s.Proxy != "" {
		addresses["proxy"] = s.Proxy
	}
	for _, key := range []string{"listen", "peer", "admin", "proxy"} {
		address, ok := addresses[key]
		if !ok {
			continue
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			add(key, "%q cannot be parsed; %s", address, accepted)
		}
	}
	for _, seed := range s.SeedList() {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			add("seeds", "%q cannot be parsed; %s", seed, accepted)
		}
	}
	base, err := url.Parse(s.Platform)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		add("platform", "%q is not a base URL; accepted is http:// or https:// with a host", s.Platform)
	}
	if s.Authority == "" && !isLoopback(s.Peer) {
		add("authority", "is missing; without it the peer address must be a loopback address")
	}
	if s.Authority == "" && s.Proxy != "" && !isLoopback(s.Proxy) {
		add("authority", "is missing; without it the proxy address must be a loopback address")
	}
	if s.Admin != "" && s.Credential == "" && !isLoopback(s.Admin) {
		add("credential", "is missing; without it the admin address must be a loopback address")
	}
}

func (s *Settings) checkFiles(add func(key, format string, args ...any)) {
	checkPair(add, "certificate", s.Certificate, "key", s.Key)
	if s.Authority != "" {
		checkPair(add, "identity", s.Identity, "secret", s.Secret)
		if s.Identity == "" {
			add("identity", "is missing; accepted is a PEM file, since authority is set")
		}
	}
	if s.Authority == "" && (s.Identity != "" || s.Secret != "") {
		add("authority", "is missing; accepted is a PEM file, since identity or secret is set")
	}
	s.checkReadable(add)
}

func (s *Settings) checkReadable(add func(key, format string, args ...any)) {
	if s.Authority != "" {
		pem, err := os.ReadFile(s.Authority)
		switch {
		case err != nil:
			add("authority", "%v; accepted is a PEM file with a certificate", err)
		case !x509.NewCertPool().AppendCertsFromPEM(pem):
			add("authority", "%s holds no certificate; accepted is a PEM file with a certificate", s.Authority)
		}
	}
	if s.Credential == "" {
		return
	}
	if _, err := os.ReadFile(s.Credential); err != nil {
		add("credential", "%v; accepted is a readable file", err)
	}
}

func (s *Settings) checkRanges(add func(key, format string, args ...any)) {
	checkSize := func(key string, size int) {
		if size < minSizeBytes || size > maxSizeBytes {
			add(key, "%d is out of range; accepted are %d to %d bytes", size, minSizeBytes, maxSizeBytes)
		}
	}
	if s.Memory < minMemoryMB || s.Memory > maxMemoryMB {
		add("memory", "%d is out of range; accepted are %d to %d MiB", s.Memory, minMemoryMB, maxMemoryMB)
	}
	if s.Descriptors != 0 && (s.Descriptors < minDescriptors || s.Descriptors > maxDescriptors) {
		add("descriptors", "%d is out of range; accepted are 0 and %d to %d", s.Descriptors, minDescriptors, maxDescriptors)
	}
	checkSize("body", s.Body)
	checkSize("header", s.Header)
	checkDuration := func(key string, value time.Duration) {
		if value < time.Second || value > maxDuration {
			add(key, "%v is out of range; accepted are 1s to %v", value, maxDuration)
		}
	}
	checkDuration("duration", s.Duration)
	checkDuration("idle", s.Idle)
	checkDuration("queue", s.Queue)
	checkDuration("grace", s.Grace)
	if s.Retention < time.Hour || s.Retention > 90*maxDuration {
		add("retention", "%v is out of range; accepted are 1h to %v", s.Retention, 90*maxDuration)
	}
}

func checkPair(add func(key, format string, args ...any), certificate, certificateFile, key, keyFile string) {
	switch {
	case certificateFile == "" && keyFile == "":
		return
	case keyFile == "":
		add(key, "is missing; accepted is a PEM file, since %s is set", certificate)
	case certificateFile == "":
		add(certificate, "is missing; accepted is a PEM file, since %s is set", key)
	default:
		if _, err := tls.LoadX509KeyPair(certificateFile, keyFile); err != nil {
			add(certificate, "%v; accepted is a PEM certificate with the key in %s", err, key)
		}
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}
