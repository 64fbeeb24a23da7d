package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// Worker is a stand-in of a worker.
	Worker struct {
		ID      string
		Service string
		Zone    string
		Work    func(r *http.Request) time.Duration // How long a plain request takes.
		Events  func(r *http.Request) (count int, gap time.Duration)
		Lose    func() bool // Whether the answer to a plain request that has run is lost by a reset; optional.
		Record  *Record
		Store   *Store

		address string
		mu      sync.Mutex
		runs    map[string]int // By request ID.
		ended   map[string]string
	}
)

// Start serves requests and registers the worker.
func (w *Worker) Start() {
	w.runs, w.ended = map[string]int{}, map[string]string{}
	listener := listen()
	w.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, w) }()
	w.Register("ready")
}

// Register writes the entry of the worker.
func (w *Worker) Register(state string) {
	w.Store.Put("servers", w.ID, map[string]any{
		"service": w.Service, "address": w.address, "zone": w.Zone, "version": "1", "slots": 128, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// Runs returns how often the worker began to work on a request.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// End returns how the run of a request ended; empty if it hasn't.
func (w *Worker) End(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended[id]
}

func (w *Worker) end(id, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[id] = how
	w.Record.Add("worker %s: run of %s ended: %s", w.ID, id, how)
}

// ServeHTTP runs a request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Citronslip-Request-Id")
	header := out.Header()
	header.Set("X-Citronslip-Request-Id", id)
	header.Set("X-Citronslip-Worker-Load", "1,0,128")
	if r.URL.Path == "/health" {
		header.Set("X-Citronslip-Instance-Id", w.ID)
		return
	}
	if id == "" {
		header.Set("X-Citronslip-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Citronslip-Expect-Instance"); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.Record.Add("worker %s runs %s %s", w.ID, id, r.URL.Path)
	header.Set("X-Citronslip-Response-Signature", w.ID+"."+id)
	if r.Header.Get("X-Citronslip-Token-Usage") != "" {
		w.stream(out, r, id)
		return
	}
	select {
	case <-time.After(w.Work(r)):
		if w.Lose != nil && w.Lose() {
			w.end(id, "its answer is lost, the connection is reset")
			reset(out)
			return
		}
		w.end(id, "answer written")
	case <-r.Context().Done():
		w.end(id, "its connection was closed")
		return
	}
	fmt.Fprintf(out, "done %s", id)
}

// stream writes the events of a request that generates tokens.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, id string) {
	out.Header().Set("Content-Type", "text/event-stream")
	count, gap := w.Events(r)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(out)
	for i := from + 1; i <= count; i++ {
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			w.end(id, "its connection was closed")
			return
		}
		fmt.Fprintf(out, "id: %d\ndata: %s %d of %d\n\n", i, id, i, count)
		if controller.Flush() != nil {
			return
		}
	}
	w.end(id, "answer written")
}

// reset resets the connection of a request.
func reset(out http.ResponseWriter) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
