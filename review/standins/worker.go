package main

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeatIntervalMs of the settings.
	heartbeat = 1200 * time.Millisecond
	// downTime is the time after which a worker that has crashed is back.
	downTime = 3 * time.Second
	// tokensPerEvent is the stride of the engines.
	tokensPerEvent = 3
)

// Arrival is a request that has reached a worker.
type Arrival struct {
	ID, Worker string
	At         time.Time
	Ran        bool // Whether the worker has run it.
	Status     int
}

// Worker is a stand-in of a worker. Set the exported fields before start.
type Worker struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	Version           string        // Of its software; v1 if empty.
	Interval          time.Duration // Between two events of a stream; 2 ms if zero.
	// Reject decides whether a request is turned away, and with which Retry-After in seconds; none if it is empty. Optional.
	Reject func() (rejected bool, retryAfter string)

	// Fails returns the status of a failure of the worker's own, or zero. Optional.
	Fails func(r *http.Request) int

	// Crashes reports whether the worker crashes when it begins to answer a request, and how many events it has written then.
	// Optional.
	Crashes func(r *http.Request) (crashes bool, events int)

	store   *Store
	address string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	silent   bool // Whether it writes no heartbeats.
	leaving  bool
	sequence int
	arrivals []Arrival
	crashes  []time.Time
}

// start starts the worker and its heartbeats.
func (w *Worker) start(store *Store) {
	w.store, w.born = store, time.Now().UnixMilli()
	w.Version = cmp.Or(w.Version, "v1")
	listener := listen("127.0.0.1:0")
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	w.beat()
	go func() {
		for range time.Tick(heartbeat) {
			w.beat()
		}
	}()
	record("%s: worker of %s at %s", w.ID, w.Service, w.address)
}

// beat writes the entry of the worker.
func (w *Worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return
	}
	w.sequence++
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	w.store.Put("servers", w.ID, map[string]any{
		"service": w.Service, "address": w.address, "zone": w.Zone, "version": w.Version, "slots": w.Slots, "state": state,
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	})
}

// cutFromStore keeps the worker from the store for a time. Its entry is removed after three intervals.
func (w *Worker) cutFromStore(duration time.Duration) {
	w.setSilent(true)
	record("%s is cut off from the store", w.ID)
	time.Sleep(3 * heartbeat)
	w.store.Remove("servers", w.ID)
	record("%s: entry removed after three intervals of silence", w.ID)
	time.Sleep(duration - 3*heartbeat)
	w.setSilent(false)
	w.beat()
	record("%s reaches the store again, entry written", w.ID)
}

// leave has the worker report that it is draining. It serves on.
func (w *Worker) leave() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.beat()
}

// crash ends all connections of the worker. It is back after some seconds as a new process.
func (w *Worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return
	}
	w.silent = true
	w.crashes = append(w.crashes, time.Now())
	record("%s crashes", w.ID)
	old := w.server
	go func() {
		_ = old.Close()
		time.Sleep(downTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		listener := listen(w.address)
		w.server = &http.Server{Handler: w}
		go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
		w.silent, w.born, w.sequence = false, time.Now().UnixMilli(), 0
		go w.beat()
		record("%s is back", w.ID)
	}()
}

func (w *Worker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

func (w *Worker) add(a Arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.Worker = w.ID
	w.arrivals = append(w.arrivals, a)
	record("%s: request %s ran=%v status %d", w.ID, a.ID, a.Ran, a.Status)
}

// Arrivals returns the requests that have reached the worker.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// ServeHTTP serves a request of a router.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	at, id := time.Now(), r.Header.Get("X-Citronslip-Request-Id")
	header := out.Header()
	header.Set("X-Citronslip-Worker-Load", fmt.Sprintf("0,0,%d", w.Slots))
	expected := r.Header.Get("X-Citronslip-Expect-Instance")
	if r.URL.Path == "/health" {
		header.Set("X-Citronslip-Instance-Id", w.ID)
		return
	}
	header.Set("X-Citronslip-Request-Id", id)
	if expected != "" && expected != w.ID {
		header.Set("X-Citronslip-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.Reject != nil {
		if rejected, after := w.Reject(); rejected {
			if after != "" {
				header.Set("Retry-After", after)
			}
			header.Set("X-Citronslip-Not-Executed", "1")
			out.WriteHeader(http.StatusServiceUnavailable)
			w.add(Arrival{ID: id, At: at, Status: http.StatusServiceUnavailable})
			return
		}
	}
	time.Sleep(w.Work)
	header.Set("X-Citronslip-Response-Signature", w.ID+"."+id)
	if w.Fails != nil {
		if status := w.Fails(r); status != 0 {
			out.WriteHeader(status)
			w.add(Arrival{ID: id, At: at, Ran: true, Status: status})
			return
		}
	}
	w.add(Arrival{ID: id, At: at, Ran: true, Status: http.StatusOK})
	if _, most, ok := strings.Cut(r.Header.Get("X-Citronslip-Token-Usage"), ","); ok {
		w.stream(out, r, id, most)
		return
	}
	body := "answer to " + id
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = out.Write([]byte(body))
}

// stream sends the events of a stream up to the most output tokens that the request allows.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, id, most string) {
	tokens, _ := strconv.Atoi(most)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out.Header().Set("Content-Type", "text/event-stream")
	crashes, events := false, 0
	if w.Crashes != nil {
		crashes, events = w.Crashes(r)
	}
	if crashes && events == 0 {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	for i := first + 1; i <= tokens/tokensPerEvent; i++ {
		if crashes && i > first+events {
			w.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %s-%d\n\n", i, w.Version, id, i)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(cmp.Or(w.Interval, 2*time.Millisecond))
	}
}
