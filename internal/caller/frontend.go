package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/burn"
	"citronslip/internal/claim"
	"citronslip/internal/crash"
	"citronslip/internal/engine"
	"citronslip/internal/event"
	"citronslip/internal/explain"
	"citronslip/internal/memory"
	"citronslip/internal/quarantine"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	bearerPrefix = "Bearer "
)

type (
	// ActiveConfig is the configuration version in force, indexed for look-ups.
	ActiveConfig struct {
		Number int
		Index  *inventory.Index
	}

	// Frontend is the HTTP front end that answers callers. Set the fields before calling Handler.
	Frontend struct {
		Router   string // Name of the router.
		Instance string // Identity of this process.
		Version  *board.Cell[ActiveConfig]
		Stopping *board.Cell[bool] // Whether a graceful shutdown has begun.
		// When the connections of callers are closed, once requests that may last longer are refused; empty before.
		Closing  *board.Cell[time.Time]
		Ledger   *budget.Ledger
		Picker   *routing.Picker
		Retrier  *routing.Retrier
		Queues   *AdmissionQueues
		Claims   *claim.Claims
		Biller   *claim.Biller
		Explain  *explain.RequestLog
		Resolver *AttemptResolver
		Remote   *budget.Remote
		Guard    *quarantine.Guard // Limits the backend servers that one request can crash.
		Crashes  *crash.Tracker    // Finds messages that crash backend servers in many requests; optional.
		Starts   ServerProcesses   // Latest known process of each backend server.
		Engines  *engine.Client    // Reuses connections to backend servers.
		Once     *engine.Client    // Opens a connection for each request, so that the transport resends none.
		Burn     *burn.Recorder    // Measures service levels.
		Scope    tally.Scope       // Metrics; nil means none.
		Logger   *zerolog.Logger
		// Ask queries another router instance for the state of a claim. It is nil if instances cannot be queried.
		Ask func(ctx context.Context, instance, account, key, nonce string) (claim.Report, error)

		// Rerouted reports whether requests to the backend server with a base URL go through another router, as this one
		// does not reach it; optional.
		Rerouted func(base string) bool

		Memory *memory.Budget // Memory for bodies and answers; unlimited if nil.

		BodyBytes   int64         // Largest accepted request body in bytes.
		HeaderBytes int           // Largest accepted request header in bytes.
		Duration    time.Duration // Time limit of one request.
		Idle        time.Duration // Idle timeout of request bodies, response writes and connections; one minute if 0.

		requestCount atomic.Uint64 // Number of the latest request.
		inFlight     atomic.Int64  // Requests in progress.
	}
)

// Handler returns the HTTP handler for callers.
func (f *Frontend) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc("/healthz", f.handleHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", f.handleReadiness).Methods(http.MethodGet)
	router.HandleFunc("/v1/models", f.handleModels).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", f.handleChat).Methods(http.MethodPost)
	router.PathPrefix("/v1/").HandlerFunc(f.handleUnknownPath)
	router.MethodNotAllowedHandler = http.HandlerFunc(f.handleUnknownPath)
	router.PathPrefix("/").HandlerFunc(f.handlePlain)
	return f.withWatchdog(router)
}

// InFlight returns the number of requests in progress.
func (f *Frontend) InFlight() int64 {
	return f.inFlight.Load()
}

// RecordProcess records the process of a backend server that sent a load report. A report that tells nothing of its
// process is ignored.
func (f *Frontend) RecordProcess(server string, load engine.Load) {
	process := newServerProcess(load)
	if process == (ServerProcess{}) {
		return
	}
	before := f.Starts.Record(server, process)
	f.Picker.RecordSoftware(server, process.Software)
	if process.Software != before.Software {
		event.SoftwareChanged.Log(f.Logger).Str("server", server).Str("software", process.Software).
			Str("before", before.Software).Send()
	}
}

func (f *Frontend) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// handleReadiness tells the load balancer whether to send requests to this router.
func (f *Frontend) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case f.isStopping():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case f.Version.Load() == nil:
		http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (f *Frontend) isRerouted(base string) bool {
	return f.Rerouted != nil && f.Rerouted(base)
}

func (f *Frontend) isStopping() bool {
	stopping := f.Stopping.Load()
	return stopping != nil && *stopping
}

// stopRefusal returns the refusal of a request that may last longer than a router that stops, or nil. The context has the
// time limit of the request.
func (f *Frontend) stopRefusal(ctx context.Context) *Refusal {
	closing := f.Closing.Load()
	if end, ok := ctx.Deadline(); closing == nil || ok && !end.After(*closing) {
		return nil
	}
	return newRetryableRefusal(http.StatusServiceUnavailable, CodeUnavailable, "this router stops", time.Second)
}

// handleModels lists the models that the client account may use.
func (f *Frontend) handleModels(w http.ResponseWriter, r *http.Request) {
	c, refusal := f.newCall(w, r)
	if refusal != nil {
		c.sendRefusal(refusal)
		return
	}
	defer c.endCall()
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := []model{}
	for _, declared := range c.index.Inventory.Models {
		query := inventory.Query{Account: c.account.Name, Model: declared.Name}
		if _, err := c.index.Decide(query); err == nil {
			list = append(list, model{ID: declared.Name, Object: "model", Owner: declared.Service})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}

func (f *Frontend) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	c, refusal := f.newCall(w, r)
	if refusal == nil {
		defer c.endCall()
		refusal = newRefusal(http.StatusNotFound, CodePath, r.Method+" "+r.URL.Path+" is not served")
	}
	c.sendRefusal(refusal)
}

// authenticate returns the client account of the request's API key, or nil if the key is missing or unknown.
func (f *Frontend) authenticate(index *inventory.Index, r *http.Request) *inventory.ClientAccount {
	headers := r.Header.Values("Authorization")
	if len(headers) != 1 {
		return nil
	}
	key, ok := strings.CutPrefix(headers[0], bearerPrefix)
	if !ok {
		return nil
	}
	return index.Authenticate(key)
}
