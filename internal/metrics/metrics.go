// Package metrics makes the root of a process's metrics.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

const (
	interval = time.Second
	prefix   = "citronslip"
)

// New makes a root scope and its scrape handler. Each has a registry of its own, so that several routers may run in one
// process.
func New() (tally.Scope, http.Handler, io.Closer) {
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: prometheus.NewRegistry()})
	options := tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
	}
	scope, closer := tally.NewRootScope(options, interval)
	return scope, reporter.HTTPHandler(), closer
}
