package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const maxPage = 500

type (
	// rowKey identifies a row of the store.
	rowKey struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
	}

	// row is a row as it is sent and received.
	row struct {
		rowKey
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"recordVersion"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	// transaction is the body of a write call.
	transaction struct {
		Expect []row    `json:"expect"`
		Puts   []row    `json:"puts"`
		Remove []rowKey `json:"remove"`
	}

	// answer is the body of the store's answers.
	answer struct {
		Rows    []row   `json:"rows"`
		HasMore bool    `json:"hasMore"`
		Version int64   `json:"recordVersion"`
		NowMS   float64 `json:"nowMs"`
	}

	// fate is what the stand-in does with a write call.
	fate struct {
		Lost  bool          // No answer; the call is performed after Delay if its conditions hold then.
		Never bool          // With Lost: the call isn't performed at all.
		Delay time.Duration // Zero: performed at once.
	}

	// Store is a stand-in of the platform's store.
	Store struct {
		// Fate decides about a write call of a router; nil performs all. It is called without the lock.
		Fate func(caller string, t transaction) fate

		mu      sync.Mutex
		start   time.Time
		version int64
		rows    map[rowKey]row
		history []row
		changed chan struct{}
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// Listen serves the store for one caller and returns the address.
func (s *Store) Listen(caller string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.write(caller, w, r) })
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	listener := listen()
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String()
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(transaction{Puts: []row{{rowKey: rowKey{Table: table, Key: name}, Value: data}}})
}

// Remove removes a row as the operator or a worker does.
func (s *Store) Remove(table, name string) {
	s.apply(transaction{Remove: []rowKey{{Table: table, Key: name}}})
}

// Rows returns all rows of a table.
func (s *Store) Rows(table string) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, r := range s.rows {
		if key.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *Store) nowMS() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

// apply performs a transaction and reports whether its conditions held.
func (s *Store) apply(t transaction) (answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := answer{Rows: []row{}, Version: s.version, NowMS: s.nowMS()}
	ok := true
	for _, e := range t.Expect {
		current := s.rows[e.rowKey]
		current.rowKey = e.rowKey
		result.Rows = append(result.Rows, current)
		ok = ok && current.Version == e.Version
	}
	if !ok {
		return result, false
	}
	s.version++
	for _, p := range t.Puts {
		p.Version = s.version
		s.rows[p.rowKey] = p
		s.history = append(s.history, p)
	}
	for _, key := range t.Remove {
		if _, exists := s.rows[key]; exists {
			delete(s.rows, key)
			s.history = append(s.history, row{rowKey: key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return answer{Rows: []row{}, Version: s.version, NowMS: s.nowMS()}, true
}

func (s *Store) write(caller string, w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var f fate
	if s.Fate != nil {
		f = s.Fate(caller, t)
	}
	if f.Lost {
		if !f.Never {
			time.AfterFunc(f.Delay, func() { s.apply(t) })
		}
		<-r.Context().Done() // The connection delivers nothing further.
		panic(http.ErrAbortHandler)
	}
	result, ok := s.apply(t)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	respond(w, status, result)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	result := answer{Rows: []row{}, Version: s.version, NowMS: s.nowMS()}
	for key, r := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") && (q.Get("to") == "" || key.Key < q.Get("to")) {
			result.Rows = append(result.Rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(result.Rows, func(i, j int) bool { return result.Rows[i].Key < result.Rows[j].Key })
	if len(result.Rows) > limit {
		result.Rows, result.HasMore = result.Rows[:limit], true
	}
	respond(w, http.StatusOK, result)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("afterRevision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		result := answer{Rows: []row{}, Version: s.version, NowMS: s.nowMS()}
		if after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after }); i < len(s.history); i++ {
			if s.history[i].Table == q.Get("table") {
				result.Rows = append(result.Rows, s.history[i])
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(result.Rows) > 0 || expired {
			respond(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body answer) {
	time.Sleep(3 * time.Millisecond) // A transaction or a read takes a moment.
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
