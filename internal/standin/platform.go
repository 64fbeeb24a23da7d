// Package standin provides test doubles of the systems around the routers: the platform, model engines and a plain
// service. They serve the same protocols as the real systems and can be made to fail.
package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"citronslip/internal/hosts"
	"citronslip/internal/object"
	"citronslip/internal/table"
	"citronslip/internal/weights"
)

const (
	maxObjectBytes = 64 << 20
)

type (
	// Platform serves the four services of the platform from memory: table, object store, host list and model weights.
	// The zero value is ready for use.
	Platform struct {
		Table   table.Memory
		Objects object.Memory
		Hosts   hosts.MemoryList
		Weights weights.Memory

		down  atomic.Bool
		delay atomic.Int64 // Delay of each answer in nanoseconds.
	}
)

// SetDown sets whether all services refuse calls with the status 503.
func (p *Platform) SetDown(down bool) {
	p.down.Store(down)
}

// SetDelay sets the delay of each answer.
func (p *Platform) SetDelay(delay time.Duration) {
	p.delay.Store(int64(delay))
}

// Handler returns the HTTP handler of all four services.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/table/commit", p.commit).Methods(http.MethodPost)
	router.HandleFunc("/table/row", p.getRow).Methods(http.MethodGet)
	router.HandleFunc("/table/scan", p.scanRows).Methods(http.MethodGet)
	router.HandleFunc("/object/{key}", p.putObject).Methods(http.MethodPut)
	router.HandleFunc("/object/{key}", p.getObject).Methods(http.MethodGet)
	router.HandleFunc("/hosts", p.listHosts).Methods(http.MethodGet)
	router.HandleFunc("/weights/{name}/{version}", p.lookupWeights).Methods(http.MethodGet)
	router.Use(p.injectFaults)
	return router
}

// injectFaults applies SetDown and SetDelay to each call.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.down.Load() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if delay := time.Duration(p.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var request table.CommitRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rows, err := p.Table.Commit(r.Context(), request.Ops)
	if errors.Is(err, table.ErrUnknown) {
		// The connection is closed without an answer, so that the caller does not learn the outcome either.
		panic(http.ErrAbortHandler)
	}
	writeReply(w, table.RowsResponse{Rows: rows}, err)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get("key"))
	writeReply(w, row, err)
}

func (p *Platform) scanRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)
		return
	}
	rows, err := p.Table.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	writeReply(w, table.RowsResponse{Rows: rows}, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeReply(w, struct{}{}, p.Objects.Put(r.Context(), pathVariable(r, "key"), data))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.Objects.Get(r.Context(), pathVariable(r, "key"))
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	w.Write(data)
}

func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	list, err := p.Hosts.Hosts(r.Context())
	writeReply(w, hosts.ListResponse{Hosts: list}, err)
}

func (p *Platform) lookupWeights(w http.ResponseWriter, r *http.Request) {
	found, err := p.Weights.Lookup(r.Context(), pathVariable(r, "name"), pathVariable(r, "version"))
	writeReply(w, found, err)
}

// pathVariable returns a decoded variable of the path. Routes match the encoded path, so that keys may contain slashes.
func pathVariable(r *http.Request, name string) string {
	value, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil {
		return mux.Vars(r)[name]
	}
	return value
}

// writeReply writes an answer as JSON, or the status that corresponds to the error of a service.
func writeReply(w http.ResponseWriter, answer any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	case errors.Is(err, table.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, table.ErrNotFound), errors.Is(err, object.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, weights.ErrLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
