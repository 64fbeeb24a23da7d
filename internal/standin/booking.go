package standin

import (
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

type (
	// Booking is a stand-in for a plain service whose calls must not be repeated. It counts the executions of each
	// request body. Fields are set before Handler.
	Booking struct {
		Name  string
		Delay time.Duration // Delay of each answer.

		mu         sync.Mutex
		executions map[string]int // Number of executions by request body.
	}
)

// Executions returns the number of executions by request body.
func (b *Booking) Executions() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	result := make(map[string]int, len(b.executions))
	for body, count := range b.executions {
		result[body] = count
	}
	return result
}

// Handler returns the HTTP handler. POST executes a booking, other methods only return the name of the server, the
// method and the path. The path /load returns a load report.
func (b *Booking) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			writeReply(w, EngineLoad{Slots: defaultSlots, Ready: true, Start: b.Name}, nil)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer := map[string]any{"server": b.Name, "method": r.Method, "path": r.URL.RequestURI()}
		if r.Method == http.MethodPost {
			b.recordExecution(string(body))
			answer["booking"] = rand.Text()
		}
		if b.Delay > 0 {
			time.Sleep(b.Delay)
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	})
}

func (b *Booking) recordExecution(body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.executions == nil {
		b.executions = make(map[string]int)
	}
	b.executions[body]++
}
