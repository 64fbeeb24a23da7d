// Package metrics creates the root metrics scope of a router and the HTTP handler that Prometheus scrapes.
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
	// reportInterval is the interval at which recorded values are passed to the Prometheus registry.
	reportInterval = time.Second
	// namePrefix begins the name of each metric.
	namePrefix = "citronslip"
)

// NewRootScope returns a root scope, the handler that serves its metrics to Prometheus and a closer that reports the
// last values and stops the scope. Each scope has its own registry, so that several routers can run in one process.
func NewRootScope() (tally.Scope, http.Handler, io.Closer) {
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: prometheus.NewRegistry()})
	options := tally.ScopeOptions{
		Prefix:          namePrefix,
		CachedReporter:  reporter,
		Separator:       tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
